#include "fakes/simulated_cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> entries_of(fakes::simulated_cluster& world, std::size_t node) {
  net::server_request request;
  request.method = "GET";
  request.path = "/v1/entries";
  const auto answer = world.call(node, std::move(request));
  std::vector<std::string> addresses;
  const auto body = nlohmann::json::parse(answer->body);
  for (const auto& entry : body["entries"])
    addresses.push_back(entry["address"]);
  return addresses;
}

bool lists_node(const std::vector<std::string>& entries, const std::string& address) {
  return std::find(entries.begin(), entries.end(), address) != entries.end();
}

support::task<> leave(node::node& leaving_node) {
  co_await leaving_node.leave();
}

} // namespace

BOOST_AUTO_TEST_CASE(entries_list_all_live_nodes) {
  fakes::simulated_cluster world;
  world.add_nodes(6);
  world.run_for(3s);
  BOOST_TEST(entries_of(world, 0).size() == 6);
  world.kill_node(3);
  BOOST_TEST(world.run_until([&] { return !lists_node(entries_of(world, 0), "n3:1"); }, 8s));
  BOOST_TEST(entries_of(world, 0).size() == 5);
}

BOOST_AUTO_TEST_CASE(leaving_node_is_removed_from_entries) {
  fakes::simulated_cluster world;
  world.add_nodes(6);
  world.run_for(3s);
  support::spawn(world.context.get_executor(), "leave", leave(*world.nodes[2].node));
  world.run_for(1s);
  for (std::size_t node = 0; node < 6; ++node)
    BOOST_TEST(!lists_node(entries_of(world, node), "n2:1"));
}

BOOST_AUTO_TEST_CASE(leaving_planner_hands_its_lease_over_at_once) {
  fakes::simulated_cluster world;
  world.add_runners(1, 4);
  world.add_nodes(3);
  world.run_for(1s);
  world.apply(fakes::model_document("", "v1", 1));
  BOOST_REQUIRE(world.run_until([&] { return world.routable() == 1; }, 30s));
  const auto leads = [&](std::size_t node) {
    return world.nodes[node].node->planner_statuses().front().leads;
  };
  std::size_t leader = 0;
  while (!leads(leader))
    ++leader;
  support::spawn(world.context.get_executor(), "leave", leave(*world.nodes[leader].node));
  const auto handed_over = [&] {
    for (std::size_t node = 0; node < 3; ++node) {
      if (node != leader && leads(node))
        return true;
    }
    return false;
  };
  BOOST_TEST(world.run_until(handed_over, 4s));
  BOOST_TEST(world.routable(leader == 0 ? 1 : 0) == 1);
}

BOOST_AUTO_TEST_CASE(new_document_restricts_data_centres_in_place) {
  fakes::simulated_cluster world;
  world.add_plain(2);
  world.add_nodes(2);
  world.run_for(2s);
  world.apply(fakes::plain_document());
  world.run_for(3s);
  BOOST_TEST(world.call(0, fakes::plain_request("/title-cards/1"))->status == 200);
  std::string restricted = fakes::plain_document();
  restricted.insert(restricted.find("\n[limits]"), "data_centres = [\"nowhere\"]\n");
  world.apply(restricted);
  world.run_for(2s);
  BOOST_TEST(world.call(0, fakes::plain_request("/title-cards/1"))->status == 503);
}
