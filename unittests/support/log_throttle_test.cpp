#include "camphorlug/support/log_throttle.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct load_case {
  const char* name;
  int lines_per_second;
  std::chrono::seconds duration;
  std::uint64_t min_written;
  std::uint64_t max_written;
};

std::ostream& operator<<(std::ostream& out, const load_case& each) {
  return out << each.name;
}

// The rate limit is 10 lines per second with bursts of 20 lines.
const load_case load_cases[] = {
    {"below the limit nothing is omitted", 8, 100s, 800, 800},
    {"a burst within the limit", 20, 1s, 20, 20},
    {"far above the limit", 1000, 100s, 1000, 1020},
};

const support::log_rate rate{10, 20};

} // namespace

BOOST_DATA_TEST_CASE(written_and_omitted_lines_add_up, data::make(load_cases), each) {
  support::log_throttle throttle(rate);
  support::log_throttle::time_point now{1h};
  const int lines = each.lines_per_second * static_cast<int>(each.duration.count());
  std::uint64_t written = 0;
  std::uint64_t reported = 0;
  for (int line = 0; line < lines; ++line) {
    now += 1'000'000us / each.lines_per_second;
    if (const auto omitted = throttle.admit("a", now)) {
      ++written;
      reported += *omitted;
    }
  }
  for (const auto& [kind, omitted] : throttle.take_inactive_omitted_counts(now + 2s))
    reported += omitted;
  BOOST_TEST(written >= each.min_written);
  BOOST_TEST(written <= each.max_written);
  BOOST_TEST(written + reported == static_cast<std::uint64_t>(lines));
  BOOST_TEST(throttle.take_inactive_omitted_counts(now + 4s).empty());
}

BOOST_AUTO_TEST_CASE(rate_limit_of_one_kind_does_not_affect_others) {
  support::log_throttle throttle(rate);
  const support::log_throttle::time_point now{1h};
  for (int line = 0; line < 1000; ++line)
    throttle.admit("request/info", now);
  BOOST_TEST(!throttle.admit("request/info", now));
  BOOST_TEST((throttle.admit("request/warning", now) == 0u));
}

BOOST_AUTO_TEST_CASE(active_kind_reports_omitted_lines_in_its_next_line) {
  support::log_throttle throttle(rate);
  const support::log_throttle::time_point now{1h};
  for (int line = 0; line < 25; ++line)
    throttle.admit("a", now);
  BOOST_TEST(throttle.take_inactive_omitted_counts(now + 500ms).empty());
  BOOST_TEST((throttle.admit("a", now + 500ms) == 5u));
}
