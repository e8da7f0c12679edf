#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

std::uint64_t version_at(fakes::simulated_cluster& world, std::size_t node) {
  const auto in_force = world.nodes[node].node->documents().find("plain");
  return in_force ? in_force->version.number : 0;
}

bool all_have(fakes::simulated_cluster& world, std::uint64_t version) {
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (version_at(world, node) < version)
      return false;
  }
  return true;
}

/// Applies edits while nodes are cut off and messages get lost. Returns whether no
/// node's version ever decreased and all nodes finally reached the newest version.
bool versions_never_decrease_and_converge(std::uint64_t seed, std::size_t nodes) {
  fakes::simulated_cluster world(seed);
  world.add_nodes(nodes);
  world.run_for(2s);
  std::vector<std::uint64_t> last(nodes, 0);
  world.network.losses_per_thousand = 200;
  world.network.longest_delay = 800ms;
  for (int step = 0; step < 12; ++step) {
    const std::size_t cut_node = world.random.below(nodes);
    world.nodes[cut_node].store->cut = !world.nodes[cut_node].store->cut;
    const auto one = world.nodes[world.random.below(nodes)].node->settings().operator_address;
    const auto other = world.nodes[world.random.below(nodes)].node->settings().operator_address;
    if (!world.network.cuts.erase({one, other}))
      world.network.cuts.insert({one, other});
    world.apply(fakes::plain_document(), world.random.below(nodes));
    for (int round = 0; round < 10; ++round) {
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

BOOST_AUTO_TEST_CASE(document_versions_never_decrease) {
  const bool holds = rc::check("document versions never decrease and converge at six nodes", [] {
    RC_ASSERT(versions_never_decrease_and_converge(*rc::gen::arbitrary<std::uint64_t>(), 6));
  });
  BOOST_TEST(holds);
}

BOOST_DATA_TEST_CASE(document_versions_never_decrease_at_thirty_nodes, data::xrange(10), seed) {
  BOOST_TEST(versions_never_decrease_and_converge(1000 + seed, 30));
}

BOOST_AUTO_TEST_CASE(edit_reaches_six_nodes_within_three_seconds) {
  fakes::simulated_cluster world;
  world.add_nodes(6);
  world.run_for(2s);
  for (std::uint64_t version = 1; version <= 5; ++version) {
    world.apply(fakes::plain_document(), version % 6);
    BOOST_TEST(world.run_until([&] { return all_have(world, version); }, 3s));
  }
}

BOOST_AUTO_TEST_CASE(edit_reaches_nodes_cut_off_from_the_store) {
  fakes::simulated_cluster world;
  world.add_nodes(6);
  world.run_for(2s);
  for (std::size_t node = 1; node < 6; ++node)
    world.nodes[node].store->cut = true;
  world.apply(fakes::plain_document(), 0);
  BOOST_TEST(world.run_until([&] { return all_have(world, 1); }, 3s));
}

BOOST_AUTO_TEST_CASE(new_node_without_store_gets_documents_from_peers) {
  fakes::simulated_cluster world;
  world.add_nodes(5);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.table.down = true;
  world.add_nodes(1);
  BOOST_TEST(!world.nodes[5].node->serves());
  BOOST_TEST(world.run_until([&] { return version_at(world, 5) == 1; }, 5s));
  BOOST_TEST(world.nodes[5].node->serves());
}

BOOST_AUTO_TEST_CASE(documents_survive_replacing_nodes_one_by_one) {
  fakes::simulated_cluster world;
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

BOOST_AUTO_TEST_CASE(documents_survive_replacing_all_nodes_at_once) {
  fakes::simulated_cluster world;
  world.add_nodes(6);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  for (std::size_t node = 0; node < 6; ++node)
    world.replace_node(node);
  BOOST_TEST(world.run_until([&] { return all_have(world, 1); }, 5s));
}

BOOST_AUTO_TEST_CASE(node_restarted_with_earlier_clock_is_accepted) {
  fakes::simulated_cluster world;
  world.add_nodes(3);
  // The other nodes know an incarnation of it that is later than its current clock.
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
  const auto is_accepted = [&] {
    const auto& peers = world.nodes[0].node->peer_registry().peers();
    return peers.contains("n2") && !peers.at("n2").report.leaving;
  };
  BOOST_TEST(world.run_until(is_accepted, 8s));
}

BOOST_AUTO_TEST_CASE(node_cut_from_store_and_peers_refuses_work) {
  fakes::simulated_cluster world;
  world.add_plain(1);
  world.add_nodes(6);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  const std::string isolated = world.nodes[0].node->settings().operator_address;
  for (std::size_t other = 1; other < 6; ++other)
    world.network.cuts.insert({isolated, world.nodes[other].node->settings().operator_address});
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

BOOST_DATA_TEST_CASE(store_outage_alone_isolates_no_node, data::make({6, 30, 100}), nodes) {
  fakes::simulated_cluster world;
  world.add_nodes(nodes);
  world.run_for(10s);
  world.apply(fakes::plain_document());
  world.run_for(2s);
  world.table.down = true;
  world.run_for(2min);
  for (auto& node : world.nodes)
    BOOST_TEST(node.node->serves());
}
