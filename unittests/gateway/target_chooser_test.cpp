#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

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
