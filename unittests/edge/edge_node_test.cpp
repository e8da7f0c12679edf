#include "fakes/edge_cluster.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// A node spends at most 2 % of a core on messages, at about 0.25 ms for each that it starts or
/// answers.
constexpr int max_exchanges_per_second = 40;

/// Four nodes with one configuration and one target that have run for two seconds.
struct small_edge : fakes::edge_cluster {
  small_edge() : edge_cluster(4) {
    set_config(1);
    add_target("t1");
    run_for(2s);
  }

  std::uint64_t version(std::size_t index) { return state(index)["config"]["version"]; }

  bool lists_node(std::size_t asked, std::size_t listed) {
    const auto found = entries(asked, listed % 2 == 0 ? "east" : "west");
    return std::find(found.begin(), found.end(), "public-" + edges[listed]->peer_address) !=
           found.end();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(nodes_discover_each_other_and_serve, small_edge) {
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(edges[i]->node->ready());
    BOOST_TEST(state(i)["peers"].size() == 3);
    targets.answers["t1"].push_back(fakes::complete_answer());
    BOOST_TEST(call(i)->status == 200);
  }
}

BOOST_FIXTURE_TEST_CASE(node_without_store_access_gets_configurations_from_peers, small_edge) {
  cut_store(3, true);
  run_for(3s);
  set_config(2);
  run_for(1s);
  // Well within the time in which a configuration change must take effect.
  BOOST_TEST(version(3) == 2);
  cut_store(3, false);
  run_for(2s);
  BOOST_TEST(version(3) == 2);
}

BOOST_FIXTURE_TEST_CASE(restarted_node_gets_the_newest_configuration_from_peers, small_edge) {
  set_config(5);
  run_for(1s);
  cut_store(2, true);
  // The process restarts without any state and can learn only from its peers.
  kill(2);
  start(2);
  cut_store(2, true);
  run_for(2s);
  BOOST_TEST(version(2) == 5);
  // No node may hand on or take up an older configuration.
  for (std::size_t i = 0; i < 4; ++i)
    BOOST_TEST(version(i) == 5);
}

BOOST_FIXTURE_TEST_CASE(leaving_target_gets_no_requests_from_other_nodes, small_edge) {
  fakes::scripted_answer leaving = fakes::complete_answer();
  leaving.headers.add("Leaving", "1");
  targets.answers["t1"] = {leaving, fakes::complete_answer(), fakes::complete_answer(),
                           fakes::complete_answer(), fakes::complete_answer()};
  BOOST_TEST(call(0)->status == 200);
  run_for(1s);
  for (std::size_t i = 0; i < 4; ++i)
    BOOST_TEST(call(i)->status == 503);
  BOOST_TEST(targets.received.size() == 1);
  // A node that starts later learns it from its peers too.
  kill(2);
  start(2);
  run_for(2s);
  BOOST_TEST(call(2)->status == 503);
  BOOST_TEST(targets.received.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(leaving_is_learned_from_orders_and_probes, small_edge) {
  gateway::target_notice notice;
  notice.leaving = true;
  edges[0]->node->apply_notice("t1", notice);
  targets.answers["t1"] = {fakes::complete_answer()};
  BOOST_TEST(call(0)->status == 503);
  BOOST_TEST(targets.received.empty());
}

BOOST_AUTO_TEST_CASE(node_without_configuration_answers_503_with_retry_after) {
  fakes::edge_cluster world(1);
  world.run_for(1s);
  const auto answer = world.call(0);
  BOOST_TEST(answer->status == 503);
  BOOST_TEST(answer->headers.find("Retry-After-Ms").has_value());
  BOOST_TEST(!world.edges[0]->node->ready());
  // The response promises that no target received the request, so that callers may repeat it.
  BOOST_TEST(world.targets.received.empty());
}

BOOST_AUTO_TEST_CASE(node_that_starts_names_itself_only_once_it_can_serve) {
  fakes::edge_cluster world(1);
  world.run_for(1s);
  BOOST_TEST(world.entries(0, "east").empty());
  world.set_config(1);
  world.add_target("t1");
  world.run_for(3s);
  BOOST_TEST(world.edges[0]->node->ready());
  BOOST_TEST(world.entries(0, "east") == std::vector<std::string>{"public-peer-0"},
             boost::test_tools::per_element());
  // The same in a fleet, from the moment of the start.
  fakes::edge_cluster fleet(6);
  fleet.set_config(1);
  fleet.add_target("t1");
  fleet.run_for(3s);
  fleet.kill(1);
  fleet.start(1);
  for (auto passed = 0ms; passed < 3000ms; passed += 10ms) {
    const bool serves = fleet.edges[1]->node->ready();
    const auto named = fleet.entries(1, "west");
    const bool names_itself = std::find(named.begin(), named.end(), "public-peer-1") != named.end();
    BOOST_TEST((serves || !names_itself));
    fleet.run_for(10ms);
  }
}

BOOST_FIXTURE_TEST_CASE(leaving_node_is_removed_from_all_entry_points, small_edge) {
  support::spawn(context.get_executor(), "leave", edges[1]->node->leave());
  run_for(50ms);
  for (std::size_t asked : {0, 1, 2, 3})
    BOOST_TEST(!lists_node(asked, 1), asked);
}

BOOST_FIXTURE_TEST_CASE(killed_node_is_removed_from_entry_points_within_two_seconds, small_edge) {
  BOOST_TEST(lists_node(0, 1));
  const std::string address = "public-" + edges[1]->peer_address;
  kill(1);
  run_for(2s);
  const auto found = entries(0, "west");
  BOOST_TEST((std::find(found.begin(), found.end(), address) == found.end()));
}

BOOST_FIXTURE_TEST_CASE(restarted_node_is_found_at_its_new_address, small_edge) {
  kill(1);
  run_for(2s);
  start(1, "peer-new");
  run_for(2s);
  BOOST_TEST(edges[1]->node->ready());
  for (std::size_t asked : {0, 2, 3})
    BOOST_TEST(lists_node(asked, 1), asked);
}

struct mass_failure {
  const char* what;
  std::chrono::milliseconds store_returns_after;
};

std::ostream& operator<<(std::ostream& out, const mass_failure& each) {
  return out << each.what;
}

const mass_failure mass_failures[] = {
    {"the store answers immediately", 0ms},
    {"the store is unreachable for five seconds", 5000ms},
};

BOOST_DATA_TEST_CASE(all_nodes_serve_again_after_all_were_killed, data::make(mass_failures), each) {
  small_edge world;
  world.set_config(7);
  for (std::size_t i = 0; i < 4; ++i)
    world.kill(i);
  world.run_for(1s);
  for (std::size_t i = 0; i < 4; ++i) {
    world.start(i);
    world.cut_store(i, each.store_returns_after > 0ms);
  }
  world.run_for(each.store_returns_after);
  for (std::size_t i = 0; i < 4; ++i)
    world.cut_store(i, false);
  world.run_for(3s);
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(world.version(i) == 7);
    world.targets.answers["t1"].push_back(fakes::complete_answer());
    BOOST_TEST(world.call(i)->status == 200);
  }
}

BOOST_FIXTURE_TEST_CASE(node_without_store_access_gets_targets_from_peers, small_edge) {
  cut_store(3, true);
  run_for(2s);
  add_target("t2");
  tables.remove("targets", "t1");
  run_for(1s);
  const auto targets_of = [this](std::size_t index) {
    std::set<std::string> ids;
    const auto report = state(index);
    for (const auto& target : report["targets"])
      ids.insert(target["target"].get<std::string>());
    return ids;
  };
  BOOST_TEST(targets_of(3) == std::set<std::string>{"t2"}, boost::test_tools::per_element());
  // After reconnecting to the store it does not fall back to older rows.
  cut_store(3, false);
  run_for(5s);
  BOOST_TEST(targets_of(3) == std::set<std::string>{"t2"}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(two_nodes_read_the_store_and_relay_its_rows, small_edge) {
  for (auto& each : edges)
    each->feed->reads = 0;
  for (int i = 0; i < 20; ++i) {
    add_target("t" + std::to_string(i));
    run_for(200ms);
  }
  run_for(500ms);
  std::size_t readers = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    readers += edges[i]->feed->reads > 0 ? 1 : 0;
    BOOST_TEST(state(i)["targets"].size() == 20);
  }
  BOOST_TEST(readers == gateway::fleet_roles::reader_count);
  // Readers get the rows from the store alone; each of the others asks one peer for a change.
  BOOST_TEST(network.requests["/camphorlug/v1/entries"] <= 2 * 21);
}

BOOST_FIXTURE_TEST_CASE(unreadable_configuration_of_a_peer_stops_no_later_one, small_edge) {
  bool garbles = true;
  for (auto& [address, handler] : network.nodes)
    handler = [&garbles, original = handler](net::server_request request,
                                             net::response_writer& writer) -> support::task<> {
      if (garbles && request.path == gateway::config_path)
        writer.send(200, {}, "not a number");
      else
        co_await original(std::move(request), writer);
    };
  set_config(2);
  run_for(1s);
  garbles = false;
  set_config(3);
  run_for(1s);
  for (std::size_t i = 0; i < 4; ++i)
    BOOST_TEST(version(i) == 3);
}

BOOST_FIXTURE_TEST_CASE(killed_readers_are_replaced, small_edge) {
  for (std::size_t i = 0; i < 4; ++i) {
    if (state(i)["reads_store"].get<bool>())
      kill(i);
  }
  run_for(2500ms);
  add_target("t2");
  run_for(1s);
  for (std::size_t i = 0; i < 4; ++i) {
    if (edges[i])
      BOOST_TEST(state(i)["targets"].size() == 2);
  }
}

BOOST_FIXTURE_TEST_CASE(reader_without_store_access_is_replaced, small_edge) {
  for (std::size_t i = 0; i < 4; ++i) {
    if (state(i)["reads_store"].get<bool>())
      cut_store(i, true);
  }
  run_for(3s);
  add_target("t2");
  run_for(1s);
  for (std::size_t i = 0; i < 4; ++i)
    BOOST_TEST(state(i)["targets"].size() == 2);
}

/// Entries of live targets lapse while the store is away and come back within two seconds of its
/// return. Readers change during the outage, so the one that sees the store return may have begun
/// just then.
BOOST_DATA_TEST_CASE(lapsed_entries_are_kept_when_the_store_returns,
                     data::make({1000, 1500, 2000, 2500, 3000, 4000, 5000, 7000, 9000}),
                     outage_ms) {
  fakes::edge_cluster world(22);
  world.set_config(1);
  world.add_target("t1");
  world.run_for(3s);
  for (std::size_t i = 0; i < 22; ++i)
    world.cut_store(i, true);
  world.run_for(std::chrono::milliseconds(outage_ms));
  world.tables.remove("targets", "t1");
  for (std::size_t i = 0; i < 22; ++i)
    world.cut_store(i, false);
  for (int step = 0; step < 12; ++step) {
    world.run_for(50ms);
    const auto index = static_cast<std::size_t>(step);
    BOOST_TEST(world.state(index)["targets"].size() == 1, "after " << step << " steps");
    BOOST_TEST(world.state(21 - index)["targets"].size() == 1, "after " << step << " steps");
    world.run_for(50ms);
  }
  world.add_target("t1");
  world.run_for(2s);
  for (std::size_t i = 0; i < 22; ++i)
    BOOST_TEST(world.state(i)["targets"].size() == 1);
}

BOOST_FIXTURE_TEST_CASE(requests_succeed_while_the_store_is_unreachable, small_edge) {
  for (std::size_t i = 0; i < 4; ++i)
    cut_store(i, true);
  run_for(20s);
  for (std::size_t i = 0; i < 4; ++i) {
    targets.answers["t1"].push_back(fakes::complete_answer());
    BOOST_TEST(call(i)->status == 200);
    BOOST_TEST(state(i)["store_answered_ms_ago"] >= 19'000);
  }
}

BOOST_FIXTURE_TEST_CASE(planner_lease_moves_to_another_node_after_a_kill, small_edge) {
  const auto lease_holders = [this] {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < edges.size(); ++i) {
      if (edges[i] && state(i)["lease"]["held_here"].get<bool>())
        found.push_back(i);
    }
    return found;
  };
  // Exactly one node may plan at a time, before and after the kill.
  const auto before = lease_holders();
  BOOST_REQUIRE(before.size() == 1);
  kill(before.front());
  run_for(4s);
  const auto after = lease_holders();
  BOOST_REQUIRE(after.size() == 1);
  BOOST_TEST(after.front() != before.front());
}

BOOST_FIXTURE_TEST_CASE(changed_retry_limits_apply_immediately, small_edge) {
  edge::edge_settings settings;
  settings.retries.ratio = 0;
  settings.retries.slack = 0;
  for (int i = 0; i < 2; ++i)
    targets.answers["t1"].push_back(fakes::refusal());
  add_target("t2");
  run_for(1s);
  targets.answers["t2"].push_back(fakes::refusal());
  edges[0]->node->change_settings(settings);
  BOOST_TEST(call(0)->status == 503);
  // The second target is not tried, because no retries are left.
  BOOST_TEST(targets.received.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(state_report_shows_config_targets_peers_and_retries, small_edge) {
  targets.answers["t1"].push_back(fakes::complete_answer());
  call(0);
  const auto report = state(0);
  BOOST_TEST(report["node"] == "edge-0");
  BOOST_TEST(report["config"]["routes"].size() == 3);
  BOOST_TEST(report["targets"].size() == 1);
  BOOST_TEST(report["targets"][0]["target"] == "t1");
  BOOST_TEST(report["targets"][0]["row_age_ms"] >= 1000);
  BOOST_TEST(report["peers"][0]["heard_ms_ago"] < 1000);
  BOOST_TEST(report["retries"][0]["requests"] == 1);
}

struct cluster_size {
  std::size_t nodes;
  /// Time within which the other nodes detect a killed node.
  std::chrono::milliseconds detected_within;
};

std::ostream& operator<<(std::ostream& out, const cluster_size& each) {
  return out << each.nodes << " nodes";
}

const cluster_size cluster_sizes[] = {
    {6, 2000ms}, {11, 2000ms}, {40, 2500ms}, {88, 2500ms}, {295, 2500ms}};

BOOST_DATA_TEST_CASE(exchange_rate_stays_bounded_at_any_cluster_size, data::make(cluster_sizes),
                     each) {
  fakes::edge_cluster world(each.nodes);
  world.set_config(1);
  world.add_target("t1");
  world.run_for(5s);
  for (std::size_t i = 0; i < each.nodes; ++i)
    BOOST_TEST(world.state(i)["peers"].size() == each.nodes - 1);
  world.network.requests.clear();
  // Several rounds, so that a partly finished round does not distort the rate.
  world.run_for(10s);
  const double exchanges_per_second =
      static_cast<double>(world.network.requests[gateway::fleet_path]) /
      static_cast<double>(each.nodes) / 10;
  BOOST_TEST(exchanges_per_second <= max_exchanges_per_second);
  // The number of nodes that read the store does not grow with the number of nodes.
  std::size_t reads = 0;
  for (auto& edge : world.edges)
    reads += std::exchange(edge->feed->reads, 0);
  BOOST_TEST(reads <= 15 * 20);
  BOOST_TEST(world.entries(0, "west").size() == each.nodes / 2);
  world.kill(1);
  world.run_for(each.detected_within);
  for (std::size_t asked : {std::size_t{0}, each.nodes - 1})
    BOOST_TEST(world.entries(asked, "west").size() == each.nodes / 2 - 1);
}
