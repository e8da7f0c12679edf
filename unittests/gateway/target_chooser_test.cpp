#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <memory>

#include <algorithm>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const gateway::target_pool pool{"shop", ""};
constexpr std::size_t slots = 10;

struct chooser_fixture : gateway_fixture {
  void add_targets(int count) {
    for (int i = 0; i < count; ++i)
      add_target("t" + std::to_string(i), slots);
  }

  /// Chooses `count` targets and occupies a slot of each. Returns the highest load of a target.
  std::size_t occupy_slots(int count) {
    std::size_t highest_load = 0;
    for (int i = 0; i < count; ++i) {
      const auto chosen = chooser.choose(pool, {});
      BOOST_REQUIRE(chosen);
      loads.add(chosen->id);
      highest_load = std::max(highest_load, loads.in_flight(chosen->id));
    }
    return highest_load;
  }
};

} // namespace

// At half load, the most loaded target holds at most one request more than the mean of 5, at any
// pool size.
BOOST_DATA_TEST_CASE(load_is_spread_evenly_at_any_size, data::make({3, 40, 60, 600, 1625}), count) {
  chooser_fixture world;
  world.add_targets(count);
  BOOST_TEST(world.occupy_slots(count * 5) <= 6);
}

BOOST_DATA_TEST_CASE(last_free_slot_is_found, data::make({2, 48, 49, 300}), count) {
  chooser_fixture world;
  world.add_targets(count);
  for (int i = 0; i < count; ++i) {
    for (std::size_t slot = i == count / 2 ? 1 : 0; slot < slots; ++slot)
      world.loads.add("t" + std::to_string(i));
  }
  BOOST_TEST(world.chooser.has_free_slot(pool));
  const auto chosen = world.chooser.choose(pool, {});
  BOOST_REQUIRE(chosen);
  BOOST_TEST(chosen->id == "t" + std::to_string(count / 2));
  world.loads.add(chosen->id);
  BOOST_TEST(!world.chooser.has_free_slot(pool));
  BOOST_TEST(!world.chooser.choose(pool, {}).has_value());
}

BOOST_DATA_TEST_CASE(suspected_targets_are_chosen_only_as_a_last_resort, data::make({3, 100}),
                     count) {
  chooser_fixture world;
  world.add_targets(count);
  for (int i = 1; i < count; ++i)
    world.suspicions.suspect("t" + std::to_string(i), "test");
  BOOST_TEST(world.chooser.choose(pool, {})->id == "t0");
  BOOST_TEST(world.chooser.choose(pool, {"t0"}).has_value());
  world.suspicions.suspect("t0", "test");
  BOOST_TEST(world.chooser.choose(pool, {}).has_value());
}

BOOST_AUTO_TEST_CASE(changed_entries_are_seen_by_the_next_choice) {
  chooser_fixture world;
  world.add_targets(1);
  BOOST_TEST(world.chooser.choose(pool, {}).has_value());
  world.registry.remove("t0", 100);
  BOOST_TEST(!world.chooser.choose(pool, {}).has_value());
  BOOST_TEST(world.chooser.slots(pool) == 0);
  BOOST_TEST(!world.chooser.has_free_slot(pool));
}

/// Many nodes choose among the same targets, each with its own requests counted at once and those
/// of the others as of up to 300 ms ago, as they arrive over hubs. Requests last about a second and
/// fill 60 % of the slots. Returns the part of the choices that met a target without a free slot.
static double misplaced_choices(std::size_t nodes, std::size_t targets, std::size_t known_nodes) {
  constexpr std::size_t steps_of_request = 4;
  constexpr std::size_t steps = 40;
  std::vector<std::unique_ptr<chooser_fixture>> worlds;
  for (std::size_t i = 0; i < nodes; ++i) {
    worlds.push_back(std::make_unique<chooser_fixture>());
    worlds.back()->random = support::random_source(i);
    worlds.back()->chooser.set_node_count(known_nodes);
    worlds.back()->add_targets(static_cast<int>(targets));
  }
  const std::size_t per_step = targets * slots * 6 / 10 / steps_of_request;
  std::map<std::string, std::size_t> in_flight;
  std::deque<std::vector<std::pair<std::size_t, std::string>>> running;
  support::random_source random(1);
  std::size_t misplaced = 0;
  for (std::size_t step = 0; step < steps; ++step) {
    for (auto& world : worlds) {
      gateway::target_loads others(in_flight.begin(), in_flight.end());
      for (const auto& [target, count] : world->loads.own_loads())
        others[target] -= count;
      world->loads.update_peer("others", std::move(others));
    }
    running.emplace_back();
    for (std::size_t i = 0; i < per_step; ++i) {
      const std::size_t node = random.below(nodes);
      const auto chosen = worlds[node]->chooser.choose(pool, {});
      if (!chosen)
        continue;
      misplaced += ++in_flight[chosen->id] > slots ? 1 : 0;
      worlds[node]->loads.add(chosen->id);
      running.back().emplace_back(node, chosen->id);
    }
    if (running.size() < steps_of_request)
      continue;
    for (const auto& [node, target] : running.front()) {
      --in_flight[target];
      worlds[node]->loads.remove(target);
    }
    running.pop_front();
  }
  return static_cast<double>(misplaced) / static_cast<double>(steps * per_step);
}

BOOST_DATA_TEST_CASE(old_loads_do_not_crowd_targets, data::make({22, 76}), nodes) {
  const double misplaced = misplaced_choices(nodes, 40, nodes);
  BOOST_TEST(misplaced < 0.02);
  // The same nodes would crowd targets if each took the least loaded one.
  BOOST_TEST(misplaced < misplaced_choices(nodes, 40, 1));
}
