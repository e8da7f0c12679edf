#include "camphorlug/gateway/fleet_exchange.h"

#include "fakes/gateway_fixture.h"
#include "fakes/recorded_build.h"
#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Nodes in two data centres with targets in both, with callers. Nodes run an earlier build until
/// they are replaced.
struct mixed_fleet : fakes::tainted_fleet {
  explicit mixed_fleet(std::size_t nodes) : tainted_fleet(nodes, 0) {
    side.on_crash = {};
    for (const auto& edge : edges)
      network.earlier_builds.insert(edge->peer_address);
    for (const char* data_centre : {"east", "west"}) {
      for (std::size_t i = 0; i < 4; ++i)
        add_target(std::string(data_centre) + "-" + std::to_string(i), data_centre);
    }
    run_for(3s);
  }

  void replace(std::size_t index, bool with_earlier_build) {
    const std::string address = edges[index]->peer_address;
    kill(index);
    if (with_earlier_build)
      network.earlier_builds.insert(address);
    else
      network.earlier_builds.erase(address);
    start(index);
    wait_until_ready(index);
  }

  void serve_for(std::chrono::nanoseconds span) {
    static constexpr auto send_interval = 50ms;
    const char* paths[] = {"/plain/x", "/stream/x", "/once/x"};
    for (std::chrono::nanoseconds passed{0}; passed < span; passed += send_interval) {
      net::server_request request;
      request.method = "POST";
      request.path = paths[random.below(std::size(paths))];
      request.body = "body of " + std::to_string(callers.size());
      send(random.below(edges.size()), std::move(request), false);
      run_for(send_interval);
    }
  }

  std::size_t planners() {
    return std::count_if(edges.begin(), edges.end(), [this](const auto& each) {
      return state(std::stoul(each->id.substr(5)))["lease"]["held_here"].template get<bool>();
    });
  }

  std::size_t arrivals_in(const std::string& data_centre, support::clock::time_point since) const {
    return std::count_if(side.arrivals.begin(), side.arrivals.end(), [&](const auto& each) {
      return each.at >= since && each.target.starts_with(data_centre);
    });
  }
};

const std::size_t fleet_sizes[] = {3, 6, 26};

} // namespace

BOOST_AUTO_TEST_SUITE(mixed_builds)

BOOST_DATA_TEST_CASE(callers_are_served_while_nodes_are_replaced_by_another_build_and_back,
                     data::make(fleet_sizes), nodes) {
  mixed_fleet fleet(nodes);
  const auto start = fleet.clock.now();
  for (const bool with_earlier_build : {false, true}) {
    for (std::size_t i = 0; i < nodes; ++i) {
      fleet.replace(i, with_earlier_build);
      fleet.serve_for(300ms);
      BOOST_TEST(fleet.planners() <= 1);
    }
  }
  fleet.run_for(5s);
  BOOST_TEST(fleet.planners() == 1);
  BOOST_TEST(fleet.served_after(start) == 1);
}

BOOST_DATA_TEST_CASE(node_among_nodes_of_an_earlier_build_learns_of_an_evacuation,
                     data::make(fleet_sizes), nodes) {
  mixed_fleet fleet(nodes);
  // The last node is neither a hub nor a reader of the store in the larger fleet.
  const std::size_t last = nodes - 1;
  fleet.replace(last, false);
  fleet.serve_for(2s);
  BOOST_REQUIRE(fleet.edges[last]->node->ready());
  fleet.evacuate("west");
  fleet.run_for(fakes::evacuation_time_limit);
  const auto closed_at = fleet.clock.now();
  for (int i = 0; i < 20; ++i) {
    net::server_request request;
    request.method = "POST";
    request.path = "/plain/x";
    request.body = "body of " + std::to_string(fleet.callers.size());
    fleet.send(last, std::move(request), false);
    fleet.run_for(20ms);
  }
  fleet.run_for(1s);
  BOOST_TEST(fleet.arrivals_in("west", closed_at) == 0U);
  BOOST_TEST(fleet.arrivals_in("east", closed_at) == 20U);
  BOOST_TEST(fleet.served_after(closed_at) == 1);
}

// A field that is written, but not known, would be merged as one of a later build.
BOOST_AUTO_TEST_CASE(nodes_know_all_fields_that_they_write) {
  mixed_fleet fleet(26);
  fleet.network.earlier_builds.clear();
  std::size_t messages = 0;
  std::size_t unknown = 0;
  for (auto& [address, handler] : fleet.network.nodes) {
    handler = [&, inner = handler](net::server_request request, net::response_writer& writer) {
      if (request.path == gateway::fleet_path) {
        const auto message = gateway::fleet_message::from_json(request.body);
        ++messages;
        unknown += message.summary.unknown.size() + message.sender.unknown_elements.size();
      }
      return inner(std::move(request), writer);
    };
  }
  fleet.side.limits["east-0"] = 5;
  fleet.evacuate("west");
  fleet.serve_for(5s);
  fleet.side.crash("east-1");
  fleet.serve_for(5s);
  BOOST_TEST(messages > 100U);
  BOOST_TEST(unknown == 0U);
}

BOOST_AUTO_TEST_CASE(recorded_rows_of_an_earlier_build_are_read) {
  fakes::edge_cluster cluster(0);
  for (const auto& [key, value] : fakes::recorded_build::own_rows()) {
    table::transaction change;
    change.writes.push_back({key, value});
    cluster.own_rows.before_commit(change);
    BOOST_REQUIRE(cluster.own_rows.rows.commit(change).committed);
  }
  const std::uint64_t recorded_number = 3;
  cluster.edges.resize(3);
  for (std::size_t i = 0; i < 3; ++i)
    cluster.start(i);
  cluster.set_config(1);
  cluster.add_target("t", "east");
  cluster.run_for(10s);
  std::size_t planners = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    const auto state = cluster.state(i);
    BOOST_TEST(state["banned_parts"].size() == 1U);
    planners += state["lease"]["held_here"].get<bool>() ? 1 : 0;
    if (state["lease"]["held_here"].get<bool>())
      BOOST_TEST(state["lease"]["number"].get<std::uint64_t>() > recorded_number);
  }
  BOOST_TEST(planners == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
