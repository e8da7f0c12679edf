#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct tracker_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::load_tracker tracker{clock};
};

/// Reference implementation that recomputes each sum from the peers' latest counts.
struct reference_tracker {
  std::map<std::string, std::pair<gateway::target_loads, support::clock::time_point>> peers;
  gateway::target_loads own;

  std::size_t in_flight(const std::string& target, support::clock::time_point now) {
    std::size_t sum = own[target];
    for (auto& [peer, known] : peers) {
      if (now - known.second < gateway::load_tracker::default_peer_load_expiry)
        sum += known.first[target];
    }
    return sum;
  }
};

void apply_random_operation(tracker_fixture& fixture, reference_tracker& reference) {
  const std::string target = "t" + std::to_string(*rc::gen::inRange(0, 3));
  const std::string peer = "p" + std::to_string(*rc::gen::inRange(0, 4));
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    fixture.tracker.add(target);
    ++reference.own[target];
    break;
  case 1:
    fixture.tracker.remove(target);
    reference.own[target] -= reference.own[target] > 0 ? 1 : 0;
    break;
  case 2: {
    gateway::target_loads loads{{target, *rc::gen::inRange<std::size_t>(0, 9)}, {"t0", 1}};
    reference.peers[peer] = {loads, fixture.clock.now()};
    fixture.tracker.update_peer(peer, loads);
    break;
  }
  default:
    fixture.clock.run_for(std::chrono::milliseconds(*rc::gen::inRange(0, 1500)));
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(sums_match_recomputed_counts) {
  BOOST_TEST(rc::check("in flight is the sum of own and unexpired peer counts", [] {
    tracker_fixture fixture;
    reference_tracker reference;
    for (int i = 0; i < 100; ++i) {
      apply_random_operation(fixture, reference);
      for (const char* target : {"t0", "t1", "t2"})
        RC_ASSERT(fixture.tracker.in_flight(target) ==
                  reference.in_flight(target, fixture.clock.now()));
    }
  }));
}

BOOST_FIXTURE_TEST_CASE(counts_of_silent_peer_expire, tracker_fixture) {
  tracker.add("a");
  tracker.update_peer("peer", {{"a", 3}});
  BOOST_TEST(tracker.in_flight("a") == 4);
  clock.run_for(gateway::load_tracker::default_peer_load_expiry);
  BOOST_TEST(tracker.in_flight("a") == 1);
}
