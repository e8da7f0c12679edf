#include "camphorlug/edge/direct_read_policy.h"

#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto time_limit = 2000ms;
constexpr std::size_t hubs = 10;

struct policy_fixture {
  policy_fixture() { clock.run_for(10s); }

  bool reads(std::chrono::milliseconds staleness, std::optional<std::size_t> place = 0) {
    return policy.should_read(staleness, time_limit, place, hubs);
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random{1};
  edge::direct_read_policy policy{clock, random, "edge-1"};
};

struct turn_case {
  const char* who;
  std::optional<std::size_t> place;
  /// The node does not read yet, and reads at the latest, with a copy this stale.
  std::chrono::milliseconds waits_at;
  std::chrono::milliseconds reads_at;
};

std::ostream& operator<<(std::ostream& out, const turn_case& each) {
  return out << each.who;
}

const turn_case turn_cases[] = {
    {"the first hub", 0, 1090ms, 1110ms},
    {"a hub in the middle", 5, 1190ms, 1210ms},
    {"the last hub", 9, 1270ms, 1290ms},
    {"an attached node", std::nullopt, 1430ms, 1650ms},
};

} // namespace

BOOST_DATA_TEST_CASE(nodes_read_in_turn_within_the_time_limit, data::make(turn_cases), each) {
  policy_fixture node;
  BOOST_TEST(!node.reads(each.waits_at, each.place));
  BOOST_TEST(node.reads(each.reads_at, each.place));
}

BOOST_FIXTURE_TEST_CASE(one_read_is_in_progress_at_a_time, policy_fixture) {
  BOOST_TEST(reads(1500ms));
  policy.begin_read();
  BOOST_TEST(!reads(1900ms));
  policy.end_read(/*answered=*/true, time_limit);
  BOOST_TEST(reads(1500ms));
}

// A node that reaches the store again counts as in touch after more than the time limit and a
// second, and must have read by then.
BOOST_FIXTURE_TEST_CASE(failed_reads_are_repeated_within_the_time_limit, policy_fixture) {
  for (int attempt = 0; attempt < 10; ++attempt) {
    BOOST_TEST(reads(9000ms));
    policy.begin_read();
    policy.end_read(/*answered=*/false, time_limit);
    BOOST_TEST(!reads(9000ms));
    clock.run_for(time_limit);
  }
}
