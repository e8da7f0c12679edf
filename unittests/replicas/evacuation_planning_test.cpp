#include "camphorlug/replicas/replica_planner.h"

#include "camphorlug/support/virtual_clock.h"

#include "fakes/emulated_pool.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// From the announcement on, in which capacity must have moved.
constexpr auto time_limit = 5s;

/// A planner with an emulated pool of 6 domains with 10 instances each, two domains in each of
/// three data centres.
struct evacuated_pool {
  explicit evacuated_pool(std::uint64_t seed = 1) : pool(clock, engine, seed) {
    const char* data_centres[] = {"east", "west", "south"};
    for (int i = 0; i < 60; ++i) {
      const std::string id = "i" + std::to_string(i);
      pool.add(id, "d" + std::to_string(i / 10));
      pool.at(id).data_centre = data_centres[i / 20];
    }
    planner.begin_term(++term, true);
    run_for(10s);
    pool.traffic = true;
    run_for(30s);
  }

  void change_planner() { planner.begin_term(++term, false); }

  void step() {
    clock.run_for(100ms);
    pool.advance();
    const auto entries = pool.entries();
    replicas::planning_input input{engine, entries, pool.traffic, needed, evacuated};
    for (const replicas::replica_order& order : planner.plan(input)) {
      const std::string& place = pool.at(order.target).data_centre;
      const bool uses =
          order.kind != replicas::order_kind::leave && order.kind != replicas::order_kind::close;
      orders_there += uses && evacuated.contains(place) ? 1 : 0;
      planner.record_order_result(order, pool.submit(order));
    }
  }

  void run_for(std::chrono::nanoseconds span) {
    const auto until = clock.now() + span;
    while (clock.now() < until)
      step();
  }

  /// Open heads in the data centre, of `model` if it isn't empty.
  std::size_t open_in(const std::string& data_centre, const std::string& model = "") {
    return std::count_if(pool.runners().begin(), pool.runners().end(), [&](const auto& each) {
      const auto& runner = each.second;
      return runner.alive && runner.data_centre == data_centre && runner.membership &&
             runner.membership->state == gateway::membership_state::open &&
             (model.empty() || runner.resident_model == model);
    });
  }
  std::size_t open_elsewhere(const std::string& model) {
    return open_in("west", model) + open_in("south", model);
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::engine_profile engine = fakes::two_model_engine();
  fakes::emulated_pool pool;
  replicas::replica_planner planner{clock, "engines"};
  std::map<std::string, double> needed;
  std::set<std::string> evacuated;
  std::uint64_t term = 0;
  /// Orders other than to close or leave a group, to instances in evacuated data centres.
  std::size_t orders_there = 0;
};

struct planning_case {
  const char* name;
  std::chrono::milliseconds after;
  void (*play)(evacuated_pool&);
};

std::ostream& operator<<(std::ostream& out, const planning_case& each) {
  return out << each.name;
}

const std::vector<planning_case> cases = {
    {"nothing else happens", 0ms, [](evacuated_pool&) {}},
    {"the planner changes at once", 100ms, [](evacuated_pool& world) { world.change_planner(); }},
    {"the planner changes midway", 1500ms, [](evacuated_pool& world) { world.change_planner(); }},
    {"the planner changes while groups close", 3200ms,
     [](evacuated_pool& world) { world.change_planner(); }},
    {"instances there crash", 1000ms,
     [](evacuated_pool& world) {
       for (int i = 0; i < 20; i += 3)
         world.pool.kill("i" + std::to_string(i));
     }},
    {"orders are carried out late", 0ms,
     [](evacuated_pool& world) {
       world.pool.late_order_probability = 0.5;
       world.run_for(15s);
       world.pool.late_order_probability = 0;
     }},
    {"another one follows", 2000ms, [](evacuated_pool& world) { world.evacuated.insert("west"); }},
};

bool random_evacuations_hold(std::uint64_t seed) {
  evacuated_pool world(seed);
  std::mt19937_64 random(seed);
  const char* places[] = {"east", "west", "south"};
  for (int i = 0; i < 15; ++i) {
    switch (random() % 4) {
    case 0:
      world.change_planner();
      break;
    case 1:
      world.pool.kill("i" + std::to_string(random() % 60));
      world.pool.late_order_probability = random() % 2 == 0 ? 0.3 : 0;
      break;
    default:
      const std::string place = places[random() % 3];
      if (world.evacuated.erase(place) == 0)
        world.evacuated.insert(place);
      break;
    }
    world.run_for(std::chrono::milliseconds(random() % 6000));
  }
  return world.orders_there == 0 && world.pool.violations().empty();
}

} // namespace

// No group is open there after the limit, and nothing is placed there.
BOOST_DATA_TEST_CASE(groups_leave_an_evacuated_data_centre, data::make(cases), each) {
  evacuated_pool world;
  BOOST_TEST(world.open_in("east") > 0);
  world.evacuated = {"east"};
  world.run_for(each.after);
  each.play(world);
  world.run_for(30s);
  for (const std::string& place : world.evacuated)
    BOOST_TEST(world.open_in(place) == 0);
  BOOST_TEST(world.open_in("south") > 0);
  BOOST_TEST(world.orders_there == 0);
  BOOST_TEST(world.pool.violations().empty());
}

// Groups were being formed there when it was announced, by orders that take effect long after that.
BOOST_DATA_TEST_CASE(orders_that_take_effect_late_leave_nothing_open, data::xrange(8), seed) {
  evacuated_pool world(static_cast<std::uint64_t>(seed));
  world.pool.late_order_probability = 0.5;
  for (int i = seed % 3; i < 20; i += 3)
    world.pool.kill("i" + std::to_string(i));
  world.run_for(1s * (seed % 4));
  world.evacuated = {"east"};
  if (seed % 2 == 1)
    world.change_planner();
  world.run_for(15s);
  world.pool.late_order_probability = 0;
  world.run_for(20s);
  BOOST_TEST(world.open_in("east") == 0);
  BOOST_TEST(world.orders_there == 0);
  BOOST_TEST(world.pool.violations().empty());
}

// Groups form elsewhere from spares before those there are closed.
BOOST_AUTO_TEST_CASE(capacity_moves_before_groups_are_closed) {
  evacuated_pool world;
  world.needed = {{"large", 10}, {"small", 20}};
  world.run_for(20s);
  world.evacuated = {"east"};
  std::map<std::string, std::size_t> before;
  for (const auto& model : world.engine.models)
    before[model.name] = world.open_in("east", model.name) + world.open_elsewhere(model.name);
  std::map<std::string, std::size_t> least = before;
  for (int i = 0; i < 100; ++i) {
    world.step();
    for (auto& [model, open] : least)
      open = std::min(open, world.open_in("east", model) + world.open_elsewhere(model));
  }
  for (const auto& model : world.engine.models) {
    BOOST_TEST_MESSAGE(model.name << " before " << before[model.name] << " least "
                                  << least[model.name] << " elsewhere "
                                  << world.open_elsewhere(model.name));
    BOOST_TEST(world.open_elsewhere(model.name) >= 2);
  }
  BOOST_TEST(world.open_in("east") == 0);
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_is_taken_back_gets_groups_again) {
  evacuated_pool world;
  const std::size_t before = world.open_in("east");
  world.evacuated = {"east"};
  world.run_for(20s);
  BOOST_TEST(world.open_in("east") == 0);
  world.evacuated = {};
  world.run_for(30s);
  BOOST_TEST(world.open_in("east") == before);
  BOOST_TEST(world.pool.violations().empty());
}

BOOST_AUTO_TEST_CASE(random_evacuations_have_no_violations) {
  BOOST_TEST(rc::check("no group is placed in an evacuated data centre", [] {
    RC_ASSERT(random_evacuations_hold(*rc::gen::arbitrary<std::uint64_t>()));
  }));
}
