#include "camphorlug/support/log_throttle.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct flood {
  const char* what;
  int lines_per_second;
  std::chrono::seconds lasts;
  std::uint64_t least_written;
  std::uint64_t most_written;
};

std::ostream& operator<<(std::ostream& out, const flood& each) {
  return out << each.what;
}

// The rate is 10 lines a second and 20 at once.
const flood floods[] = {
    {"below the rate nothing is left out", 8, 100s, 800, 800},
    {"a burst fits", 20, 1s, 20, 20},
    {"far above the rate", 1000, 100s, 1000, 1020},
};

const support::log_rate rate{10, 20};

} // namespace

BOOST_DATA_TEST_CASE(lines_written_and_left_out_add_up, data::make(floods), each) {
  support::log_throttle throttle(rate);
  support::log_throttle::time_point now{1h};
  const int lines = each.lines_per_second * static_cast<int>(each.lasts.count());
  std::uint64_t written = 0;
  std::uint64_t told = 0;
  for (int line = 0; line < lines; ++line) {
    now += 1'000'000us / each.lines_per_second;
    if (const auto omitted = throttle.admit("a", now)) {
      ++written;
      told += *omitted;
    }
  }
  for (const auto& [kind, omitted] : throttle.take_unreported(now + 2s))
    told += omitted;
  BOOST_TEST(written >= each.least_written);
  BOOST_TEST(written <= each.most_written);
  BOOST_TEST(written + told == static_cast<std::uint64_t>(lines));
  BOOST_TEST(throttle.take_unreported(now + 4s).empty());
}

BOOST_AUTO_TEST_CASE(flood_of_one_kind_leaves_room_for_others) {
  support::log_throttle throttle(rate);
  const support::log_throttle::time_point now{1h};
  for (int line = 0; line < 1000; ++line)
    throttle.admit("request/info", now);
  BOOST_TEST(!throttle.admit("request/info", now));
  BOOST_TEST((throttle.admit("request/warning", now) == 0u));
}

BOOST_AUTO_TEST_CASE(kind_that_is_still_written_tells_its_own_count) {
  support::log_throttle throttle(rate);
  const support::log_throttle::time_point now{1h};
  for (int line = 0; line < 25; ++line)
    throttle.admit("a", now);
  BOOST_TEST(throttle.take_unreported(now + 500ms).empty());
  BOOST_TEST((throttle.admit("a", now + 500ms) == 5u));
}
