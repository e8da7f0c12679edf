#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/replicas/replica_planner.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/emulated_pool.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// The requests for one model at the mean of the wave.
struct model_load {
  std::string model;
  double per_second = 0;
  double prompt_tokens = 0;
  std::chrono::milliseconds hold{0};
  /// Arrivals that are due.
  double due = 0;
};

constexpr double wave_swing = 0.55;
constexpr double wave_period_seconds = 15;

gateway::engine_profile engine_with_reading_rate() {
  gateway::engine_profile engine = fakes::two_model_engine();
  engine.reading_tokens_per_second = 23'500;
  return engine;
}

/// A planner that follows a demand meter, with a pool of 6 domains of 10 instances. Few requests
/// with long prompts go to the large model, many with short ones to the small one.
struct supply_world {
  supply_world() {
    for (int i = 0; i < 60; ++i)
      pool.add("i" + std::to_string(i), "d" + std::to_string(i / 10));
    planner.begin_term(1, true);
  }

  /// Requests of the wave up to now.
  void send_requests() {
    const double seconds = std::chrono::duration<double>(clock.now() - began_at).count();
    const double wave =
        1 + wave_swing * std::sin(2 * std::numbers::pi * seconds / wave_period_seconds);
    for (model_load& load : loads) {
      for (load.due += load.per_second * wave / 10; load.due >= 1; --load.due) {
        meter.count_arrival({"engines", load.model},
                            engine.reading_slot_time(load.model, load.prompt_tokens));
        meter.record_hold({"engines", load.model}, load.hold);
      }
    }
  }

  void step() {
    clock.run_for(100ms);
    pool.advance();
    std::map<std::string, double> needed;
    if (pool.traffic) {
      send_requests();
      for (const auto& [key, slots] : meter.demand())
        needed[key.model] = slots;
    }
    if (clock.now() - began_at < settling_time)
      needed.clear();
    if (!fixed_demand.empty())
      needed = fixed_demand;
    const auto entries = pool.entries();
    const replicas::planning_input input{engine, entries, pool.traffic, needed};
    for (const replicas::replica_order& order : planner.plan(input))
      planner.record_order_result(order, pool.submit(order));
  }

  void run_for(std::chrono::nanoseconds span) {
    const auto until = clock.now() + span;
    while (clock.now() < until)
      step();
  }

  void begin_traffic() {
    pool.traffic = true;
    began_at = clock.now();
  }

  static constexpr std::chrono::seconds settling_time{8};
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::engine_profile engine = engine_with_reading_rate();
  fakes::emulated_pool pool{clock, engine, 1};
  replicas::replica_planner planner{clock, "engines"};
  gateway::demand_meter meter{clock};
  std::vector<model_load> loads{{"large", 29, 1620, 600ms}, {"small", 107, 674, 1000ms}};
  /// Slots needed by each model in place of what the meter says, if not empty.
  std::map<std::string, double> fixed_demand;
  support::clock::time_point began_at;
};

} // namespace

/// Few long prompts beside many short ones, in waves: by holds alone the large model looks
/// oversupplied and its groups are given to the small one. Reading takes two thirds of the large
/// model's work and a fifth of the small one's: in engine time they need 3.0 and 8.1 groups, by
/// holds 1.0 and 6.3.
BOOST_AUTO_TEST_CASE(model_with_long_prompts_keeps_its_groups_through_a_wave) {
  supply_world world;
  world.run_for(8s);
  BOOST_REQUIRE(world.pool.serving()["large"] == 6);
  BOOST_REQUIRE(world.pool.serving()["small"] == 12);
  world.begin_traffic();
  std::size_t fewest = 6;
  for (int i = 0; i < 450; ++i) {
    world.run_for(100ms);
    fewest = std::min(fewest, world.pool.serving()["large"]);
  }
  BOOST_TEST(fewest == 6);
  BOOST_TEST(world.pool.violations().empty());
}

/// A rack switch or a bad release takes a member of most small groups in one moment. The survivors
/// and the spares replace them within two seconds; a large group that is closed for them would need
/// four free instances in one domain to come back.
BOOST_DATA_TEST_CASE(losses_in_one_moment_take_no_group_from_the_larger_model,
                     data::make({6, 8, 10, 12}), losses) {
  supply_world world;
  world.run_for(8s);
  world.begin_traffic();
  world.fixed_demand = {{"large", 30}, {"small", 140}};
  world.run_for(20s);
  const std::size_t large = world.pool.serving()["large"];
  int lost = 0;
  for (auto& [id, runner] : world.pool.runners()) {
    if (lost == losses || !runner.membership || runner.resident_model != "small" ||
        runner.membership->rank != 1)
      continue;
    world.pool.kill(id);
    world.planner.record_probe_result(id, false);
    ++lost;
  }
  BOOST_REQUIRE(lost == losses);
  std::size_t fewest = large;
  for (int i = 0; i < 20; ++i) {
    world.run_for(100ms);
    fewest = std::min(fewest, world.pool.serving()["large"]);
  }
  BOOST_TEST(fewest == large);
  BOOST_TEST(world.pool.violations().empty());
}
