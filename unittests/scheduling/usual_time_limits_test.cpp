#include "camphorlug/gateway/usual_time_limits.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <asio/io_context.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct limits_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::usual_time_limits limits{clock};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(request_without_limit_is_a_first_one, limits_fixture) {
  limits.time_used("r", 5s);
  BOOST_TEST((limits.time_used("r", std::nullopt) == 0ns));
}

BOOST_FIXTURE_TEST_CASE(shorter_limit_tells_the_time_that_has_passed, limits_fixture) {
  BOOST_TEST((limits.time_used("r", 5s) == 0ns));
  BOOST_TEST((limits.time_used("r", 3800ms) == 1200ms));
  BOOST_TEST((limits.time_used("r", 5s) == 0ns));
  BOOST_TEST((limits.time_used("other", 3s) == 0ns));
}

BOOST_FIXTURE_TEST_CASE(usual_limit_is_remembered_between_requests, limits_fixture) {
  for (int i = 0; i < 100; ++i) {
    limits.time_used("r", 5s);
    clock.run_for(100ms);
    const std::chrono::milliseconds passed(1000 + i);
    BOOST_TEST((limits.time_used("r", 5s - passed) == passed));
  }
}

BOOST_FIXTURE_TEST_CASE(limit_that_is_no_longer_used_is_forgotten, limits_fixture) {
  limits.time_used("r", 8s);
  for (int i = 0; i < 120; ++i) {
    clock.run_for(100ms);
    limits.time_used("r", 5s);
  }
  BOOST_TEST((limits.time_used("r", 5s) == 0ns));
}

/// Two groups of callers that begin with different limits: neither counts as returning. Callers
/// choose their limits, so that one with a long limit must not make all others late.
BOOST_DATA_TEST_CASE_F(limits_fixture, callers_with_different_limits_are_all_first_ones,
                       data::make({5100ms, 8000ms, 3600000ms}), longer) {
  for (int i = 0; i < 200; ++i) {
    limits.time_used("r", 5s);
    limits.time_used("r", longer);
    clock.run_for(10ms);
  }
  BOOST_TEST((limits.time_used("r", 5s) == 0ns));
  BOOST_TEST((limits.time_used("r", longer) == 0ns));
  BOOST_TEST((limits.time_used("r", 4s) == 1s));
}

BOOST_FIXTURE_TEST_CASE(one_caller_with_a_long_limit_makes_no_other_late, limits_fixture) {
  for (int i = 0; i < 100; ++i)
    limits.time_used("r", 5s);
  limits.time_used("r", 1h);
  BOOST_TEST((limits.time_used("r", 5s) == 0ns));
}

/// Returns at scattered times don't become usual, however many they are.
BOOST_FIXTURE_TEST_CASE(scattered_returns_are_recognised, limits_fixture) {
  for (int i = 0; i < 300; ++i) {
    limits.time_used("r", 5s);
    for (int k = 0; k < 2; ++k)
      BOOST_TEST((limits.time_used("r", 4s - std::chrono::milliseconds(7 * i % 1000 + k)) > 0ns));
    clock.run_for(10ms);
  }
}

/// First requests whose limits differ by the time that callers took to send them.
BOOST_FIXTURE_TEST_CASE(slightly_different_first_limits_count_as_first, limits_fixture) {
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST((limits.time_used("r", 5s - std::chrono::milliseconds(i % 30)) <= 30ms));
    clock.run_for(10ms);
  }
  BOOST_TEST((limits.time_used("r", 4s) >= 970ms));
}

/// Each caller has a limit of its own, 15 % below the route's at most, and some return.
BOOST_DATA_TEST_CASE_F(limits_fixture, scattered_first_limits_count_as_first,
                       data::make({0.0, 0.1, 0.3}), part_of_returns) {
  support::random_source random{1};
  const auto draw = [&] {
    return std::chrono::milliseconds(5100 + static_cast<int>(random.below(901)));
  };
  int late = 0;
  int recognised = 0, returns = 0;
  for (int i = 0; i < 2000; ++i) {
    if (random.uniform_real() < part_of_returns) {
      const auto used = limits.time_used("r", draw() - 1500ms);
      recognised += used >= 300ms ? 1 : 0;
      ++returns;
    } else {
      late += limits.time_used("r", draw()) > 30ms ? 1 : 0;
    }
    clock.run_for(20ms);
  }
  BOOST_TEST(late <= 0.05 * (2000 - returns));
  BOOST_TEST(recognised >= 0.5 * returns);
}
