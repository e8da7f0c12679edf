#include "camphorlug/groups/table_lease.h"

#include "fakes/fake_store.h"
#include "fakes/simulated_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

/// A node that competes for the lease. While it is paused it neither renews nor
/// tries to acquire the lease.
struct candidate {
  candidate(fakes::simulated_cluster& world, const std::string& name)
      : store(world.clock, world.table), lease(store, world.clock, world.random, "pool", name) {}

  fakes::fake_store store;
  groups::table_lease lease;
  bool paused = false;
};

support::task<> run_candidate(fakes::simulated_cluster& world, candidate& self) {
  for (;;) {
    co_await world.clock.sleep_for(1s);
    if (self.paused)
      continue;
    if (self.lease.held())
      co_await self.lease.renew();
    else
      co_await self.lease.try_acquire();
  }
}

/// Restores the rows as they are now after `age`.
support::task<> restore_after(fakes::simulated_cluster& world, std::chrono::milliseconds age) {
  standins::row_table copy = world.table.rows;
  co_await world.clock.sleep_for(age);
  world.table.restore(std::move(copy));
}

/// 0.1 to 10 s.
std::chrono::milliseconds random_copy_age(fakes::simulated_cluster& world) {
  return std::chrono::milliseconds(100 + world.random.below(9900));
}

bool at_most_one_holder(std::uint64_t seed, bool restores) {
  fakes::simulated_cluster world(seed);
  // A node that meets a store in era 1 takes it for one that was never restored.
  world.table.era = restores ? 1 : 0;
  std::vector<std::unique_ptr<candidate>> candidates;
  for (int i = 0; i < 4; ++i) {
    candidates.push_back(std::make_unique<candidate>(world, "n" + std::to_string(i)));
    support::spawn(world.context.get_executor(), "run_candidate",
                   run_candidate(world, *candidates.back()));
  }
  std::uint64_t largest_number = 0;
  bool invariant_holds = true;
  for (int step = 0; step < 400 && invariant_holds; ++step) {
    candidate& chosen = *candidates[world.random.below(candidates.size())];
    switch (world.random.below(restores ? 10 : 8)) {
    case 0:
      chosen.paused = !chosen.paused;
      break;
    case 1:
      chosen.store.cut = !chosen.store.cut;
      break;
    case 2:
      world.table.commit_answers_to_drop = static_cast<int>(world.random.below(3));
      break;
    case 3:
      world.table.delay = std::chrono::milliseconds(world.random.below(1500));
      break;
    case 8:
    case 9:
      support::spawn(world.context.get_executor(), "restore",
                     restore_after(world, random_copy_age(world)));
      break;
    default:
      break;
    }
    world.run_for(std::chrono::milliseconds(world.random.below(1500)));
    std::size_t holders = 0;
    for (const auto& each : candidates) {
      if (!each->lease.held())
        continue;
      ++holders;
      invariant_holds = invariant_holds && each->lease.number() >= largest_number;
      largest_number = std::max(largest_number, each->lease.number());
    }
    invariant_holds = invariant_holds && holders <= 1;
  }
  world.clock.shut_down();
  return invariant_holds;
}

} // namespace

BOOST_AUTO_TEST_CASE(at_most_one_holder_and_numbers_never_decrease) {
  const bool invariant_holds =
      rc::check("at most one holder under pauses, disconnections and lost responses",
                [] { RC_ASSERT(at_most_one_holder(*rc::gen::arbitrary<std::uint64_t>(), false)); });
  BOOST_TEST(invariant_holds);
}

BOOST_AUTO_TEST_CASE(at_most_one_holder_when_the_store_returns_from_older_copies) {
  const bool invariant_holds =
      rc::check("at most one holder when the store is restored under other faults",
                [] { RC_ASSERT(at_most_one_holder(*rc::gen::arbitrary<std::uint64_t>(), true)); });
  BOOST_TEST(invariant_holds);
}

BOOST_AUTO_TEST_CASE(holder_takes_the_lease_of_a_new_era_without_a_gap) {
  fakes::simulated_cluster world;
  candidate first(world, "first");
  candidate second(world, "second");
  const standins::row_table empty = world.table.rows;
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, first));
  BOOST_REQUIRE(world.run_until([&] { return first.lease.held(); }, 5s));
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, second));
  world.run_for(2s);
  const std::uint64_t number = first.lease.number();
  world.table.restore(empty);
  for (int i = 0; i < 100; ++i) {
    world.run_for(100ms);
    BOOST_TEST(first.lease.held());
    BOOST_TEST(!second.lease.held());
  }
  BOOST_TEST(first.lease.number() > number);
  BOOST_TEST(!first.lease.is_first_term());
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(number_of_a_lost_acquisition_is_not_given_out_again) {
  fakes::simulated_cluster world;
  candidate first(world, "first");
  candidate second(world, "second");
  candidate third(world, "third");
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, first));
  BOOST_REQUIRE(world.run_until([&] { return first.lease.held(); }, 5s));
  const standins::row_table copy = world.table.rows;
  first.paused = true;
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, second));
  BOOST_REQUIRE(world.run_until([&] { return second.lease.held(); }, 20s));
  const std::uint64_t lost = second.lease.number();
  second.paused = true;
  world.table.restore(copy);
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, third));
  while (!third.lease.held()) {
    world.run_for(50ms);
    BOOST_REQUIRE((!third.lease.held() || !second.lease.held()));
  }
  BOOST_TEST(third.lease.number() > lost);
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(expired_lease_is_taken_over_within_bound) {
  fakes::simulated_cluster world;
  candidate first(world, "first");
  candidate second(world, "second");
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, first));
  BOOST_REQUIRE(world.run_until([&] { return first.lease.held(); }, 5s));
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, second));
  world.run_for(10s);
  BOOST_TEST(!second.lease.held());
  first.paused = true;
  const auto paused_at = world.clock.now();
  BOOST_TEST(world.run_until([&] { return second.lease.held(); }, 30s));
  BOOST_TEST((world.clock.now() - paused_at <= 12s));
  world.clock.shut_down();
}

BOOST_AUTO_TEST_CASE(released_lease_is_acquired_without_waiting_for_its_term) {
  fakes::simulated_cluster world;
  candidate first(world, "first");
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, first));
  BOOST_REQUIRE(world.run_until([&] { return first.lease.held(); }, 5s));
  candidate second(world, "second");
  first.paused = true;
  support::spawn(world.context.get_executor(), "release", first.lease.release());
  support::spawn(world.context.get_executor(), "run_candidate", run_candidate(world, second));
  BOOST_TEST(world.run_until([&] { return second.lease.held(); }, 3s));
  world.clock.shut_down();
}
