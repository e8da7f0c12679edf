#include "camphorlug/scheduling/waiting_asks.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using scheduling::fair_order;
using scheduling::slot_ask;
using scheduling::waiting_asks;

namespace {

/// The same asks in a list that is searched as a whole.
struct plain_asks {
  struct waiting {
    slot_ask ask;
    bool is_aside = false;
  };

  bool is_overdue(const slot_ask& ask) const { return ask.in_time_until <= clock.now(); }

  std::uint64_t first() const {
    const auto rank = [this](const auto& each) {
      const slot_ask& ask = each.second.ask;
      const auto position = order.next(ask.priority, ask.organisation);
      return std::make_tuple(each.second.is_aside, is_overdue(ask), position.class_start,
                             ask.priority, position.organisation_start, ask.in_time_until,
                             each.first);
    };
    const auto best =
        std::min_element(all.begin(), all.end(), [&](const auto& one, const auto& other) {
          return rank(one) < rank(other);
        });
    return best == all.end() || best->second.is_aside ? 0 : best->first;
  }

  std::size_t ahead_of(int priority, const std::string& organisation) const {
    std::map<std::string, std::size_t> counts;
    for (const auto& [number, each] : all) {
      if (each.ask.priority <= priority && !is_overdue(each.ask) && !each.is_aside)
        ++counts[each.ask.organisation];
    }
    const std::size_t own = counts[organisation];
    std::size_t ahead = 0;
    for (const auto& [name, count] : counts)
      ahead += std::min(count, own + 1);
    return ahead;
  }

  const support::clock& clock;
  fair_order order{};
  std::map<std::uint64_t, waiting> all{};
};

struct asks_fixture {
  explicit asks_fixture(std::uint64_t seed) : random(seed) {}

  void add() {
    slot_ask ask;
    ask.priority = static_cast<int>(random.below(3));
    ask.organisation = "o" + std::to_string(random.below(5));
    ask.in_time_until = clock.now() + std::chrono::milliseconds(random.below(400)) - 100ms;
    plain.all[++last] = {ask};
    asks.add(last, {ask, nullptr});
  }

  void serve() {
    const std::uint64_t number = asks.first();
    if (number == 0)
      return;
    const slot_ask ask = asks.take(number).ask;
    plain.all.erase(number);
    const double cost = 100 + static_cast<double>(random.below(1000));
    asks.charge(ask.priority, ask.organisation, cost);
    plain.order.charge(ask.priority, ask.organisation, cost);
  }

  void cancel() {
    const std::uint64_t number = 1 + random.below(last + 1);
    if (!asks.contains(number))
      return;
    asks.take(number);
    plain.all.erase(number);
  }

  void set_aside() {
    const std::uint64_t number = asks.first();
    if (number == 0)
      return;
    asks.set_aside(number);
    plain.all.at(number).is_aside = true;
  }

  void restore() {
    asks.restore();
    for (auto& [number, each] : plain.all)
      each.is_aside = false;
  }

  void step() {
    switch (random.below(8)) {
    case 0:
      clock.run_for(std::chrono::milliseconds(random.below(60)));
      break;
    case 1:
      cancel();
      break;
    case 2:
      set_aside();
      break;
    case 3:
      restore();
      asks.forget_idle();
      break;
    case 4:
    case 5:
      serve();
      break;
    default:
      add();
    }
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random;
  waiting_asks asks{clock};
  plain_asks plain{clock};
  std::uint64_t last = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(order_is_that_of_a_search_of_all, data::xrange(30), seed) {
  asks_fixture world(static_cast<std::uint64_t>(seed));
  for (int i = 0; i < 600; ++i) {
    world.step();
    BOOST_REQUIRE(world.asks.first() == world.plain.first());
    BOOST_REQUIRE(world.asks.size() == world.plain.all.size());
    const int priority = static_cast<int>(world.random.below(4));
    const std::string organisation = "o" + std::to_string(world.random.below(6));
    BOOST_REQUIRE(world.asks.ahead_of(priority, organisation) ==
                  world.plain.ahead_of(priority, organisation));
  }
}
