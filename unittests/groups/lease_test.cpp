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

bool at_most_one_holder(std::uint64_t seed) {
  fakes::simulated_cluster world(seed);
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
    switch (world.random.below(8)) {
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
                [] { RC_ASSERT(at_most_one_holder(*rc::gen::arbitrary<std::uint64_t>())); });
  BOOST_TEST(invariant_holds);
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
