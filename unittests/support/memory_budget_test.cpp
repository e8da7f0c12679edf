#include "camphorlug/support/memory_budget.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace camphorlug;
namespace data = boost::unit_test::data;
using support::memory_budget;

namespace {

constexpr std::size_t limit = 1000;

struct share_case {
  const char* name;
  /// Bytes that the holders a, b and c have.
  std::vector<std::size_t> held;
  const char* asking;
  std::size_t bytes;
  bool allowed;
};

std::ostream& operator<<(std::ostream& out, const share_case& each) {
  return out << each.name;
}

const share_case share_cases[] = {
    {"one holder alone takes half", {0, 0, 0}, "a", 500, true},
    {"one holder alone leaves room for another", {0, 0, 0}, "a", 501, false},
    {"more than there is", {0, 0, 0}, "a", 1001, false},
    {"a greedy one while there is room", {400, 50, 0}, "a", 50, true},
    {"a greedy one while room is short", {500, 50, 0}, "a", 1, false},
    {"a modest one beside a greedy one", {500, 50, 0}, "b", 283, true},
    {"a modest one beyond its share", {500, 50, 0}, "b", 284, false},
    {"a new one beside a greedy one", {500, 0, 0}, "b", 333, true},
    {"a new one beside two", {400, 100, 0}, "c", 250, true},
    {"a new one beyond its share", {400, 100, 0}, "c", 251, false},
    {"nobody when it is full", {500, 500, 0}, "c", 1, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory_budgets)

BOOST_DATA_TEST_CASE(room_is_shared_fairly, data::make(share_cases), each) {
  memory_budget budget(limit);
  std::vector<memory_budget::charge> held;
  const char* names[] = {"a", "b", "c"};
  for (std::size_t i = 0; i < each.held.size(); ++i)
    held.emplace_back(budget, names[i]).add(each.held[i]);
  memory_budget::charge asked(budget, each.asking);
  BOOST_TEST(asked.try_add(each.bytes) == each.allowed);
  BOOST_TEST(budget.denials() == (each.allowed ? 0U : 1U));
  BOOST_TEST(asked.bytes() == (each.allowed ? each.bytes : 0U));
}

BOOST_AUTO_TEST_CASE(without_a_limit_everything_is_allowed) {
  memory_budget budget;
  memory_budget::charge charge(budget, "a");
  BOOST_TEST(charge.try_add(std::size_t{1} << 60));
  BOOST_TEST(charge.try_add(std::size_t{1} << 60));
}

BOOST_AUTO_TEST_CASE(moved_charge_is_counted_once) {
  memory_budget budget(limit);
  memory_budget::charge first(budget, "a");
  first.add(300);
  memory_budget::charge second(std::move(first));
  first = memory_budget::charge(budget, "b");
  first.add(100);
  BOOST_TEST(budget.used() == 400U);
  first = std::move(second);
  BOOST_TEST(budget.used() == 300U);
  BOOST_TEST(budget.used_by("a") == 300U);
  BOOST_TEST(budget.used_by("b") == 0U);
  first.reset();
  BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_CASE(sums_hold_in_any_order) {
  const bool held = rc::check("used bytes are the sum of all charges and within the limit", [] {
    memory_budget budget(limit);
    std::vector<memory_budget::charge> charges;
    for (const int holder : {0, 1, 2, 0, 1, 2})
      charges.emplace_back(budget, std::to_string(holder));
    const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(rc::gen::pair(
        rc::gen::inRange<std::size_t>(0, charges.size()), rc::gen::inRange(-400, 400)));
    for (const auto& [index, change] : steps) {
      if (change >= 0)
        charges[index].try_add(static_cast<std::size_t>(change));
      else
        charges[index].remove(static_cast<std::size_t>(-change));
      std::size_t sum = 0;
      for (const auto& each : charges)
        sum += each.bytes();
      RC_ASSERT(sum == budget.used());
      RC_ASSERT(sum <= limit);
    }
    charges.clear();
    RC_ASSERT(budget.used() == 0U);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
