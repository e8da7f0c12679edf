#include "camphorlug/scheduling/fair_order.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <vector>

using camphorlug::scheduling::fair_order;
namespace data = boost::unit_test::data;

namespace {

/// A source that always has requests waiting.
struct busy_source {
  int priority = 0;
  std::string organisation;
  double cost = 100;
};

/// Grants slots in order among sources that always wait, and returns the tokens that each got.
std::map<std::string, double> serve(fair_order& order, const std::vector<busy_source>& sources,
                                    int grants) {
  std::map<std::string, double> tokens;
  for (int i = 0; i < grants; ++i) {
    const busy_source* first = &sources.front();
    for (const busy_source& each : sources) {
      if (order.next(each.priority, each.organisation) <
          order.next(first->priority, first->organisation))
        first = &each;
    }
    order.charge(first->priority, first->organisation, first->cost);
    tokens[std::to_string(first->priority) + first->organisation] += first->cost;
  }
  return tokens;
}

/// Two sources and the ratio in which they get tokens.
struct share_case {
  const char* name;
  busy_source one;
  busy_source other;
  double ratio;
};

std::ostream& operator<<(std::ostream& out, const share_case& each) {
  return out << each.name;
}

const share_case share_cases[] = {
    {"neighbouring priorities", {0, "a"}, {1, "a"}, 4},
    {"neighbouring priorities of other organisations", {3, "a"}, {4, "b"}, 4},
    {"priorities two apart", {1, "a"}, {3, "a"}, 16},
    {"larger requests of the less urgent", {0, "a", 100}, {1, "a", 400}, 4},
    {"organisations of one priority", {2, "a"}, {2, "b"}, 1},
    {"larger requests of one organisation", {2, "a", 1000}, {2, "b", 100}, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(shares_follow_priority_and_not_size, data::make(share_cases), each) {
  fair_order order;
  auto tokens = serve(order, {each.one, each.other}, 20000);
  const double one = tokens[std::to_string(each.one.priority) + each.one.organisation];
  const double other = tokens[std::to_string(each.other.priority) + each.other.organisation];
  BOOST_TEST(one / other == each.ratio, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(organisations_take_turns) {
  fair_order order;
  for (int i = 0; i < 3; ++i)
    order.charge(1, "greedy", 100);
  BOOST_TEST((order.next(1, "modest") < order.next(1, "greedy")));
}

/// Whatever was served while a source was idle, it gets its share from its return on and no more.
BOOST_DATA_TEST_CASE(idle_time_is_not_saved_up, data::make({0, 1, 10, 1000}), grants_while_idle) {
  fair_order by_organisation;
  serve(by_organisation, {{1, "a"}}, grants_while_idle);
  auto tokens = serve(by_organisation, {{1, "a"}, {1, "b"}}, 100);
  BOOST_TEST(tokens["1b"] <= 5100);
  BOOST_TEST(tokens["1b"] >= 4900);

  fair_order by_priority;
  serve(by_priority, {{1, "a"}}, grants_while_idle);
  tokens = serve(by_priority, {{1, "a"}, {0, "a"}}, 100);
  BOOST_TEST(tokens["1a"] >= 1800);
}

BOOST_AUTO_TEST_CASE(forgotten_organisations_gain_nothing) {
  fair_order order;
  serve(order, {{1, "a"}, {1, "b"}}, 101);
  const auto before = order.next(1, "a");
  const auto other_before = order.next(1, "b");
  order.forget_idle();
  BOOST_TEST((order.next(1, "a") == before));
  BOOST_TEST((order.next(1, "b") == other_before));
}

/// Priorities come from messages of other nodes.
BOOST_DATA_TEST_CASE(absurd_priorities_count_as_the_nearest_sound_one,
                     data::make({-2000000000, -1, 10, 2000000000}), priority) {
  fair_order order;
  const int nearest = priority < 0 ? 0 : 9;
  order.charge(priority, "a", 100);
  BOOST_TEST((order.next(priority, "a") == order.next(nearest, "a")));
  BOOST_TEST(order.priorities() == 1u);
}
