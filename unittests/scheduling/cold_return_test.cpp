#include "scheduler_fixture.h"

#include "camphorlug/support/random_source.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

using namespace camphorlug;
using namespace camphorlug::scheduling;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using std::chrono::duration;

namespace {

constexpr std::size_t slots = 30;
constexpr std::size_t target_count = 24;
constexpr duration<double> run_time{0.4};
/// A customer's rate and bound: 26 x 1.5 + 5 in any second.
constexpr double cold_rate = 26;
constexpr std::size_t most_allowed = 44;
constexpr auto in_time = 200ms;
constexpr auto latest = 1000ms;
constexpr auto step = 1ms;

/// Callers before a pool of which the last `cold` targets have come back cold together. The load is
/// a part of what all targets would bear.
struct cold_return : scheduler_fixture {
  cold_return(std::size_t cold, double load) : scheduler_fixture(target_count, slots) {
    for (std::size_t i = target_count - cold; i < target_count; ++i)
      targets[i].max_starts_per_second = cold_rate;
    rate = load * static_cast<double>(target_count * slots) / run_time.count();
    capacity = static_cast<double>((target_count - cold) * slots) / run_time.count() +
               static_cast<double>(cold) * cold_rate * pool_scheduler::cold_fraction;
  }

  struct caller {
    support::clock::time_point sent_at;
    support::clock::time_point decided_at;
    const asked_slot* asked = nullptr;
    bool is_running = false;
  };

  void arrive() {
    std::poisson_distribution<int> count(rate * duration<double>(step).count());
    for (int i = count(random.engine()); i > 0; --i) {
      const asked_slot& asked = ask({.in_time = in_time, .latest = latest});
      callers.push_back({clock.now(), {}, &asked});
    }
  }

  void follow() {
    for (caller& each : callers) {
      if (!each.asked->decided() || each.is_running ||
          each.decided_at != support::clock::time_point{})
        continue;
      each.decided_at = clock.now();
      if (!each.asked->granted())
        continue;
      const std::string target = each.asked->result->target.id;
      starts[target].push_back(clock.now());
      const auto span = std::chrono::duration_cast<std::chrono::nanoseconds>(
          run_time * (0.5 + random.uniform_real()));
      running.emplace(clock.now() + span, target);
    }
    while (!running.empty() && running.begin()->first <= clock.now()) {
      const std::string target = running.begin()->second;
      running.erase(running.begin());
      release("n0", target);
    }
    // Those that are decided need no second look.
    std::erase_if(callers, [this](const caller& each) {
      if (each.decided_at == support::clock::time_point{})
        return false;
      done.push_back(each);
      return true;
    });
  }

  void run(std::chrono::milliseconds span) {
    for (auto passed = 0ms; passed < span; passed += step) {
      if (passed % 50ms == 0ms)
        scheduler.set_targets(targets, 0);
      arrive();
      if (passed % 20ms == 0ms)
        scheduler.expire();
      scheduler.assign();
      follow();
      run_for(step);
    }
  }

  std::size_t most_in_a_second(const std::string& target) const {
    const auto found = starts.find(target);
    if (found == starts.end())
      return 0;
    const auto& times = found->second;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= 1s)
        ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  support::random_source random{1};
  double rate = 0;
  double capacity = 0;
  std::vector<caller> callers;
  std::vector<caller> done;
  std::multimap<support::clock::time_point, std::string> running;
  std::map<std::string, std::vector<support::clock::time_point>> starts;
};

} // namespace

// The rest goes elsewhere or is refused at once: it does not wait for what cold targets would bear
// if they were warm.
BOOST_DATA_TEST_CASE(what_cold_targets_cannot_take_is_refused_at_once,
                     data::make({8, 24}) * data::make({0.6, 1.0, 1.5}), cold, load) {
  cold_return world(static_cast<std::size_t>(cold), load);
  constexpr auto span = 4000ms;
  world.run(span);
  for (std::size_t i = target_count - static_cast<std::size_t>(cold); i < target_count; ++i)
    BOOST_TEST(world.most_in_a_second("t" + std::to_string(i)) <= most_allowed);
  double served = 0, served_in_time = 0, refused = 0, refused_at_once = 0;
  for (const auto& each : world.done) {
    const auto waited = each.decided_at - each.sent_at;
    if (each.asked->granted()) {
      ++served;
      served_in_time += waited <= in_time ? 1 : 0;
    } else {
      ++refused;
      refused_at_once += waited <= 20ms ? 1 : 0;
    }
  }
  const double possible = std::min(world.capacity, world.rate) * duration<double>(span).count();
  BOOST_TEST_MESSAGE(cold << " cold, load " << load << ": served " << served << " of " << possible
                          << " possible, in time " << served_in_time << ", refused " << refused
                          << ", at once " << refused_at_once);
  BOOST_TEST(served >= 0.9 * possible);
  BOOST_TEST(served_in_time >= 0.9 * served);
  BOOST_TEST(refused_at_once >= 0.9 * refused);
}
