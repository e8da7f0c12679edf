#include "cold_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::scheduling;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const auto sizes = data::make({1, 2, 3, 6, 7, 12, 13, 26, 71});

BOOST_DATA_TEST_CASE(a_cold_target_gets_some_requests_and_no_more_than_its_bound, sizes, count) {
  cold_fleet fleet(static_cast<std::size_t>(count), 1);
  fleet.know({fleet.clock.now() + 60s, cold_fleet::rate});
  fleet.run(50s);
  BOOST_TEST(fleet.most_in_a_second() <= cold_fleet::most_allowed);
  // A node that expects others and hears none does not know what they send.
  BOOST_TEST(fleet.arrivals.empty() == (count == 1));
}

/// A random sequence of deaths, restarts and cuts.
static void disturb(cold_fleet& fleet) {
  cold_fleet::node& chosen = fleet.nodes[fleet.random.below(fleet.nodes.size())];
  const std::size_t parts = 1 + fleet.random.below(3);
  switch (fleet.random.below(5)) {
  case 0:
    if (chosen.alive)
      fleet.kill(chosen);
    break;
  case 1:
    fleet.start(chosen);
    break;
  case 2:
    // One node is cut off from all others, and may start anew there.
    chosen.part = chosen.part == 0 ? 10 + static_cast<int>(fleet.random.below(50)) : 0;
    fleet.change_lists();
    break;
  case 3:
    for (cold_fleet::node& each : fleet.nodes)
      each.part = static_cast<int>(fleet.random.below(parts));
    fleet.change_lists();
    break;
  default:
    for (cold_fleet::node& each : fleet.nodes) {
      if (fleet.random.below(4) == 0)
        fleet.start(each);
    }
  }
}

BOOST_DATA_TEST_CASE(a_cold_target_gets_no_more_than_its_bound_in_a_disturbed_fleet,
                     data::make({6, 13, 26, 71}) * data::xrange(12), count, seed) {
  cold_fleet fleet(static_cast<std::size_t>(count), static_cast<std::uint64_t>(seed));
  fleet.know({fleet.clock.now() + 1h, cold_fleet::rate});
  fleet.run(10s);
  for (int event = 0; event < 20; ++event) {
    disturb(fleet);
    fleet.run(std::chrono::milliseconds(200 + fleet.random.below(8000)));
  }
  BOOST_TEST(fleet.most_in_a_second() <= cold_fleet::most_allowed);
}

BOOST_DATA_TEST_CASE(what_a_target_gets_rises_gradually_after_it_was_cold, data::make({6, 71}),
                     count) {
  cold_fleet fleet(static_cast<std::size_t>(count), 1);
  fleet.know({fleet.clock.now() + 40s, cold_fleet::rate});
  fleet.run(40s);
  fleet.arrivals.clear();
  fleet.run(gateway::cold_targets::ramp_time);
  // A cliff would be several hundred requests: each node sends one at each tick.
  const double most = gateway::cold_targets::ramp_end * cold_fleet::most_allowed;
  BOOST_TEST(static_cast<double>(fleet.most_in_a_second()) <= most);
  BOOST_TEST(!fleet.arrivals.empty());
}

BOOST_AUTO_TEST_CASE(a_target_without_a_rate_is_not_bounded) {
  cold_fleet fleet(6, 1);
  const gateway::cold_state state{fleet.clock.now() + 1h, 0};
  const gateway::cold_targets& cold = *fleet.nodes[0].cold;
  BOOST_TEST(!cold.next_at("t", state));
  BOOST_TEST(!cold.scheduler_rate(state));
}
