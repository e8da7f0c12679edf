#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr double cold_rate = 1;
/// In any second, from all nodes.
constexpr auto most_allowed =
    static_cast<std::size_t>(cold_rate * fakes::cold_limit.over + fakes::cold_limit.slack);
/// News must reach all nodes within this time.
constexpr auto spread_time = 1s;
constexpr auto send_interval = 10ms;
constexpr auto cold_time = 8s;
constexpr std::size_t targets_per_data_centre = 6;

/// Nodes before targets in two data centres, with callers.
struct cold_world : fakes::tainted_fleet {
  explicit cold_world(std::size_t nodes) : tainted_fleet(nodes, 0) {
    side.on_crash = {};
    set_config(1000, cold_rate);
    for (const char* data_centre : {"east", "west"}) {
      for (std::size_t i = 0; i < targets_per_data_centre; ++i)
        add_target(name(data_centre, i), data_centre);
    }
    // Until the fleet counts as settled, at any size.
    run_for(40s);
  }

  static std::string name(const std::string& data_centre, std::size_t index) {
    return data_centre + "-" + std::to_string(index);
  }

  void serve_for(std::chrono::nanoseconds span) {
    for (std::chrono::nanoseconds passed{0}; passed < span; passed += send_interval) {
      net::server_request request;
      request.method = "POST";
      request.path = random.below(2) == 0 ? "/plain/x" : "/once/x";
      request.body = "body of " + std::to_string(callers.size());
      send(random.below(edges.size()), std::move(request), false);
      run_for(send_interval);
    }
  }

  std::vector<support::clock::time_point> arrivals_at(const std::string& target,
                                                      support::clock::time_point from,
                                                      support::clock::time_point until) const {
    std::vector<support::clock::time_point> times;
    for (const auto& each : side.arrivals) {
      if (each.target == target && each.at >= from && each.at < until)
        times.push_back(each.at);
    }
    return times;
  }

  std::size_t most_in_a_second(const std::string& target, support::clock::time_point from,
                               support::clock::time_point until) const {
    const auto times = arrivals_at(target, from, until);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= 1s)
        ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }
};

} // namespace

// A target says in a health answer to one node that it is cold.
BOOST_DATA_TEST_CASE(what_one_node_is_told_bounds_all_nodes, data::make({1, 6, 26, 71}), nodes) {
  cold_world world(static_cast<std::size_t>(nodes));
  const std::string target = cold_world::name("east", 0);
  world.serve_for(2s);
  const auto before = world.clock.now();
  BOOST_TEST(world.most_in_a_second(target, before - 2s, before) > most_allowed);
  gateway::target_notice notice;
  notice.cold_remaining = cold_time;
  world.edges.back()->node->apply_notice(target, notice);
  const auto told_at = world.clock.now();
  world.serve_for(cold_time + 4s);
  BOOST_TEST(world.most_in_a_second(target, told_at + spread_time, told_at + cold_time) <=
             most_allowed);
  const auto end = world.clock.now();
  // What is on its way ends.
  world.run_for(1s);
  // The target is used again, and nobody was turned away meanwhile.
  BOOST_TEST(world.most_in_a_second(target, told_at + cold_time, end) > most_allowed);
  BOOST_TEST(world.served_after(told_at) >= 0.99);
  BOOST_TEST(world.state(0)["cold_targets"].empty());
  BOOST_TEST(world.edges[0]->node->metrics().find("camphorlug_gateway_cold_waits_total") ==
             std::string::npos);
}

// All targets of a data centre are gone for a while and come back cold together.
BOOST_DATA_TEST_CASE(data_centre_that_comes_back_cold_is_not_overrun, data::make({6, 26, 71}),
                     nodes) {
  cold_world world(static_cast<std::size_t>(nodes));
  world.serve_for(1s);
  for (std::size_t i = 0; i < targets_per_data_centre; ++i)
    world.remove_target(cold_world::name("east", i));
  world.serve_for(2s);
  for (std::size_t i = 0; i < targets_per_data_centre; ++i)
    world.add_target(cold_world::name("east", i), "east", cold_time);
  const auto back_at = world.clock.now();
  world.serve_for(cold_time - 1s);
  BOOST_TEST(world.state(1)["cold_targets"].size() == targets_per_data_centre);
  world.serve_for(1s);
  for (std::size_t i = 0; i < targets_per_data_centre; ++i)
    BOOST_TEST(world.most_in_a_second(cold_world::name("east", i), back_at, back_at + cold_time) <=
               most_allowed);
  world.run_for(2s);
  // The other data centre has slots for 140 requests a second.
  BOOST_TEST(world.served_after(back_at) >= 0.99);
}
