#include "fakes/test_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

std::uint64_t version_at(fakes::test_world& world, std::size_t node) {
  const auto in_force = world.nodes[node].node->documents().find("plain");
  return in_force ? in_force->version.number : 0;
}

bool all_have(fakes::test_world& world, std::uint64_t version) {
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (version_at(world, node) < version)
      return false;
  }
  return true;
}

/// Edits while nodes are cut off and messages get lost; returns whether no node
/// ever went back and all came to the newest version.
bool documents_only_go_forward(std::uint64_t seed, std::size_t nodes) {
  fakes::test_world world(seed);
  world.add_nodes(nodes);
  world.run_for(2s);
  std::vector<std::uint64_t> last(nodes, 0);
  world.network.losses_per_thousand = 200;
  world.network.longest_delay = 800ms;
  for (int step = 0; step < 12; ++step) {
    const std::size_t victim = world.random.below(nodes);
    world.nodes[victim].store->cut = !world.nodes[victim].store->cut;
    const auto one = world.nodes[world.random.below(nodes)].node->settings().operator_address;
    const auto other = world.nodes[world.random.below(nodes)].node->settings().operator_address;
    if (!world.network.cuts.erase({one, other}))
      world.network.cuts.insert({one, other});
    world.apply(fakes::plain_document(), world.random.below(nodes));
    for (int look = 0; look < 10; ++look) {
      world.run_for(200ms);
      for (std::size_t node = 0; node < nodes; ++node) {
        if (version_at(world, node) < last[node])
          return false;
        last[node] = version_at(world, node);
      }
    }
  }
  world.network.losses_per_thousand = 0;
  world.network.cuts.clear();
  for (auto& node : world.nodes)
    node.store->cut = false;
  const std::uint64_t newest = *std::max_element(last.begin(), last.end());
  return world.run_until([&] { return all_have(world, newest); }, 10s);
}

} // namespace

BOOST_AUTO_TEST_CASE(no_node_ever_goes_back) {
  const bool holds = rc::check("documents only go forward at six nodes", [] {
    RC_ASSERT(documents_only_go_forward(*rc::gen::arbitrary<std::uint64_t>(), 6));
  });
  BOOST_TEST(holds);
}

BOOST_DATA_TEST_CASE(no_node_ever_goes_back_at_thirty, data::xrange(10), seed) {
  BOOST_TEST(documents_only_go_forward(1000 + seed, 30));
}

BOOST_AUTO_TEST_CASE(edit_is_in_force_within_three_seconds_at_six_nodes) {
  fakes::test_world world;
  world.add_nodes(6);
  world.run_for(2s);
  for (std::uint64_t version = 1; version <= 5; ++version) {
    world.apply(fakes::plain_document(), version % 6);
    BOOST_TEST(world.run_until([&] { return all_have(world, version); }, 3s));
  }
}

BOOST_AUTO_TEST_CASE(edit_spreads_to_nodes_that_are_cut_off_the_store) {
  fakes::test_world world;
  world.add_nodes(6);
  world.run_for(2s);
  for (std::size_t node = 1; node < 6; ++node)
    world.nodes[node].store->cut = true;
  world.apply(fakes::plain_document(), 0);
  BOOST_TEST(world.run_until([&] { return all_have(world, 1); }, 3s));
}

BOOST_AUTO_TEST_CASE(new_node_without_the_store_takes_documents_from_peers) {
  fakes::test_world world;
  world.add_nodes(5);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.table.down = true;
  world.add_nodes(1);
  BOOST_TEST(!world.nodes[5].node->serves());
  BOOST_TEST(world.run_until([&] { return version_at(world, 5) == 1; }, 5s));
  BOOST_TEST(world.nodes[5].node->serves());
}

BOOST_AUTO_TEST_CASE(documents_outlive_all_nodes_replaced_one_by_one) {
  fakes::test_world world;
  world.add_nodes(6);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  world.table.down = true;
  for (std::size_t node = 0; node < 6; ++node) {
    world.replace_node(node);
    BOOST_TEST(world.run_until([&] { return version_at(world, node) == 1; }, 5s));
  }
}

BOOST_AUTO_TEST_CASE(documents_outlive_all_nodes_replaced_at_once) {
  fakes::test_world world;
  world.add_nodes(6);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  for (std::size_t node = 0; node < 6; ++node)
    world.replace_node(node);
  BOOST_TEST(world.run_until([&] { return all_have(world, 1); }, 5s));
}

BOOST_AUTO_TEST_CASE(node_that_restarts_with_an_earlier_calendar_is_heard) {
  fakes::test_world world;
  world.add_nodes(3);
  // The others remember it from a time that its calendar has not reached yet.
  peers::node_report past;
  past.id = "n2";
  past.address = "n2:1";
  past.peer_address = "n2:2";
  past.incarnation = 1'000'000'000'000;
  past.sequence = 100;
  past.revision = 100;
  past.leaving = true;
  peers::peer_message message;
  message.sender = past;
  for (std::size_t node = 0; node < 2; ++node)
    world.nodes[node].node->answer_peer(message);
  const auto is_heard = [&] {
    const auto& peers = world.nodes[0].node->peer_registry().peers();
    return peers.contains("n2") && !peers.at("n2").report.leaving;
  };
  BOOST_TEST(world.run_until(is_heard, 8s));
}

BOOST_AUTO_TEST_CASE(node_cut_from_store_and_peers_refuses_work) {
  fakes::test_world world;
  world.add_plain(1);
  world.add_nodes(6);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  const std::string lone = world.nodes[0].node->settings().operator_address;
  for (std::size_t other = 1; other < 6; ++other)
    world.network.cuts.insert({lone, world.nodes[other].node->settings().operator_address});
  world.run_for(10s);
  BOOST_TEST(world.nodes[0].node->serves());
  world.nodes[0].store->cut = true;
  world.run_for(7s);
  BOOST_TEST(!world.nodes[0].node->serves());
  const auto answer = world.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(answer->status == 503);
  BOOST_TEST(answer->headers.find("Camphorlug-Outcome").value_or("") == "not-run");
  world.run_for(2min);
  BOOST_TEST(!world.nodes[0].node->serves());
  world.network.cuts.clear();
  BOOST_TEST(world.run_until([&] { return world.nodes[0].node->serves(); }, 10s));
}

BOOST_DATA_TEST_CASE(store_down_alone_isolates_nobody, data::make({6, 30, 100}), nodes) {
  fakes::test_world world;
  world.add_nodes(nodes);
  world.run_for(10s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  world.table.down = true;
  world.run_for(2min);
  for (auto& node : world.nodes)
    BOOST_TEST(node.node->serves());
}
