#include "camphorlug/gateway/first_part_times.h"
#include "camphorlug/gateway/second_try_policy.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/support/virtual_clock.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace camphorlug;
using namespace camphorlug::gateway;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

second_try_case slow_request() {
  second_try_case request;
  request.service = "shop";
  request.is_repeatable = true;
  request.attempts = 1;
  request.wait = 101ms;
  request.usual_time = 100ms;
  return request;
}

struct policy_case {
  const char* name;
  bool is_due;
  void (*change)(second_try_case&);
  int requests_before = 50;
};

std::ostream& operator<<(std::ostream& out, const policy_case& each) {
  return out << each.name;
}

const policy_case policy_cases[] = {
    {"slow", true, [](second_try_case&) {}},
    {"not slow", false, [](second_try_case& request) { request.wait = 100ms; }},
    {"nothing known", false, [](second_try_case& request) { request.usual_time.reset(); }},
    {"not repeatable", false, [](second_try_case& request) { request.is_repeatable = false; }},
    {"sent twice", false, [](second_try_case& request) { request.attempts = 2; }},
    {"answered", false, [](second_try_case& request) { request.is_answered = true; }},
    {"suspected", false, [](second_try_case& request) { request.is_suspected = true; }},
    {"another service", false, [](second_try_case& request) { request.service = "other"; }},
    {"share used up", false, [](second_try_case&) {}, 49},
};

} // namespace

BOOST_DATA_TEST_CASE(second_try_is_due_for_slow_requests_only, data::make(policy_cases), each) {
  second_try_policy policy({0.02, 0.95, 0.2});
  for (int i = 0; i < each.requests_before; ++i)
    policy.count_request("shop");
  second_try_case request = slow_request();
  each.change(request);
  BOOST_TEST(policy.is_due(request) == each.is_due);
}

BOOST_AUTO_TEST_CASE(at_most_one_second_try_is_saved_up) {
  second_try_policy policy({0.02, 0.95, 0.2});
  for (int i = 0; i < 10'000; ++i)
    policy.count_request("shop");
  policy.count_second_try("shop");
  BOOST_TEST(!policy.is_due(slow_request()));
}

BOOST_AUTO_TEST_CASE(room_needs_free_slots_and_no_queue) {
  const second_try_policy policy({0.02, 0.95, 0.2});
  BOOST_TEST(policy.has_room(0, 0.21));
  BOOST_TEST(!policy.has_room(0, 0.2));
  BOOST_TEST(!policy.has_room(1, 0.9));
}

namespace {

struct quantile_case {
  double fraction;
  std::chrono::milliseconds exact;
};

std::ostream& operator<<(std::ostream& out, const quantile_case& each) {
  return out << each.fraction;
}

const quantile_case quantile_cases[] = {{0.5, 500ms}, {0.95, 950ms}, {0.99, 990ms}, {1, 1000ms}};

} // namespace

BOOST_DATA_TEST_CASE(quantile_is_at_most_a_bucket_above_the_exact_one, data::make(quantile_cases),
                     each) {
  time_histogram histogram;
  for (int i = 1; i <= 1000; ++i)
    histogram.count(std::chrono::milliseconds(i));
  const auto found = histogram.quantile(each.fraction);
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((*found >= each.exact));
  BOOST_TEST((*found <= each.exact * 1.1));
}

BOOST_AUTO_TEST_CASE(quantile_needs_samples_and_an_upper_bound) {
  time_histogram histogram;
  BOOST_TEST(!histogram.quantile(0.5));
  histogram.count(std::chrono::hours(1));
  BOOST_TEST(!histogram.quantile(0.5));
}

BOOST_AUTO_TEST_CASE(old_times_are_forgotten_and_few_say_nothing) {
  asio::io_context context;
  support::virtual_clock clock(context);
  first_part_times times(clock);
  const response_class small("chat", {"shop", ""}, 100);
  const response_class large("chat", {"shop", ""}, 5000);
  for (std::size_t i = 1; i < first_part_times::min_samples; ++i)
    times.record(small, 50ms);
  BOOST_TEST(!times.quantile(small, 0.95));
  times.record(small, 50ms);
  BOOST_TEST(times.quantile(small, 0.95).has_value());
  BOOST_TEST(!times.quantile(large, 0.95));
  clock.run_for(first_part_times::memory + 1s);
  BOOST_TEST(!times.quantile(small, 0.95));
}

BOOST_AUTO_TEST_CASE(requests_given_up_early_do_not_lower_the_quantile) {
  asio::io_context context;
  support::virtual_clock clock(context);
  first_part_times times(clock);
  const response_class kind("chat", {"shop", ""}, 0);
  for (int i = 0; i < 200; ++i)
    times.record(kind, 100ms);
  const auto before = times.quantile(kind, 0.95);
  for (int i = 0; i < 1000; ++i)
    times.record_minimum(kind, 10ms, 0.95);
  BOOST_TEST((times.quantile(kind, 0.95) == before));
  for (int i = 0; i < 1000; ++i)
    times.record_minimum(kind, 300ms, 0.95);
  BOOST_TEST((times.quantile(kind, 0.95) > before));
}

BOOST_AUTO_TEST_CASE(number_of_classes_is_bounded) {
  asio::io_context context;
  support::virtual_clock clock(context);
  first_part_times times(clock);
  const auto fill = [&](const std::string& model) {
    for (std::size_t i = 0; i < first_part_times::min_samples; ++i)
      times.record({"chat", {"shop", model}, 0}, 50ms);
  };
  for (std::size_t i = 0; i < first_part_times::max_classes; ++i)
    times.record({"chat", {"shop", std::to_string(i)}, 0}, 50ms);
  fill("new");
  BOOST_TEST(!times.quantile({"chat", {"shop", "new"}, 0}, 0.95));
  clock.run_for(first_part_times::memory);
  fill("new");
  BOOST_TEST(times.quantile({"chat", {"shop", "new"}, 0}, 0.95).has_value());
}

namespace {

/// A fleet of nodes that share one pool. Each sees the free slots of the whole pool late, and only
/// its own queue. Targets take longer the fuller they are.
class fleet_model {
public:
  static constexpr std::size_t nodes = 20;
  static constexpr std::size_t slots = 200;
  static constexpr double share = 0.02;
  static constexpr auto step = 5ms;
  static constexpr auto base_time = 100ms;
  static constexpr std::size_t view_delay_steps = 60;

  struct load {
    /// Requests a second in relation to what the slots bear at the base time.
    double utilisation;
    /// How many times longer all targets take.
    double slowness;
  };

  void run(load now, std::chrono::milliseconds span) {
    const double per_step = now.utilisation * static_cast<double>(slots) *
                            (std::chrono::duration<double>(step) / base_time);
    for (auto passed = 0ms; passed < span; passed += step) {
      clock_.run_for(step);
      double due = per_step;
      for (; due >= 1 || random_.uniform_real() < due; due -= 1)
        arrive();
      views_.push_back(used_);
      if (views_.size() > view_delay_steps)
        views_.pop_front();
      for (node& each : nodes_)
        advance(each, now);
    }
  }

  /// Second tries since `from`.
  std::size_t second_tries_since(support::clock::time_point from) const {
    return count_between(second_tries_, from, support::clock::time_point::max());
  }
  support::clock::time_point now() const { return clock_.now(); }

  /// Whether second tries are within the limit of the whole fleet in any second.
  bool is_within_limit() const {
    for (const auto& from : second_tries_) {
      const auto to = from + 1s;
      const double limit =
          share * static_cast<double>(count_between(arrivals_, from, to)) + double{nodes};
      if (static_cast<double>(count_between(second_tries_, from, to)) > limit)
        return false;
    }
    return true;
  }

private:
  using times = std::vector<support::clock::time_point>;

  struct request {
    std::optional<support::clock::time_point> started_at;
    support::clock::time_point arrived_at;
    std::chrono::nanoseconds needs{0};
    std::optional<support::clock::time_point> second_ends_at;
    std::size_t attempts = 1;
  };
  struct node {
    explicit node(support::clock& time) : first_parts(time) {}
    first_part_times first_parts;
    second_try_policy policy{{share, 0.95, 0.2}};
    std::deque<request> requests;
  };

  static std::size_t count_between(const times& all, support::clock::time_point from,
                                   support::clock::time_point to) {
    return static_cast<std::size_t>(std::lower_bound(all.begin(), all.end(), to) -
                                    std::lower_bound(all.begin(), all.end(), from));
  }

  void arrive() {
    node& each = nodes_[random_.below(nodes)];
    request added;
    added.arrived_at = clock_.now();
    each.requests.push_back(added);
    each.policy.count_request("shop");
    arrivals_.push_back(clock_.now());
  }

  std::chrono::nanoseconds draw_time(load now) {
    const double fullness = static_cast<double>(used_) / static_cast<double>(slots);
    const double tail = random_.uniform_real() < 0.03 ? 4 : 1;
    const double factor =
        now.slowness * (0.5 + fullness) * (0.8 + 0.4 * random_.uniform_real()) * tail;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(base_time * factor);
  }

  void advance(node& each, load now) {
    std::size_t waiting = 0;
    for (request& one : each.requests) {
      if (!one.started_at && used_ < slots) {
        one.started_at = clock_.now();
        one.needs = draw_time(now);
        ++used_;
      }
      waiting += one.started_at ? 0 : 1;
    }
    for (request& one : each.requests) {
      if (one.started_at)
        consider(each, one, waiting, now);
    }
    std::erase_if(each.requests, [&](const request& one) { return has_ended(each, one); });
  }

  void consider(node& each, request& one, std::size_t waiting, load now) {
    second_try_case described;
    described.service = "shop";
    described.is_repeatable = true;
    described.attempts = one.attempts;
    described.wait = clock_.now() - *one.started_at;
    described.usual_time = each.first_parts.quantile(kind_, each.policy.quantile());
    const double free_share = 1 - static_cast<double>(views_.front()) / static_cast<double>(slots);
    if (!each.policy.is_due(described) || !each.policy.has_room(waiting, free_share) ||
        used_ >= slots)
      return;
    each.policy.count_second_try("shop");
    second_tries_.push_back(clock_.now());
    ++one.attempts;
    ++used_;
    one.second_ends_at = clock_.now() + draw_time(now);
  }

  bool has_ended(node& each, const request& one) {
    const auto at = clock_.now();
    // Callers leave after a while.
    if (!one.started_at)
      return at - one.arrived_at >= 2s;
    const bool first_ended = at >= *one.started_at + one.needs;
    const bool second_ended = one.second_ends_at && at >= *one.second_ends_at;
    if (!first_ended && !second_ended)
      return false;
    const auto held = at - *one.started_at;
    if (first_ended)
      each.first_parts.record(kind_, held);
    else
      each.first_parts.record_minimum(kind_, held, each.policy.quantile());
    used_ -= one.attempts;
    return true;
  }

  asio::io_context context_;
  support::virtual_clock clock_{context_};
  support::random_source random_{7};
  const response_class kind_{"chat", {"shop", ""}, 0};
  std::vector<node> nodes_{nodes, node(clock_)};
  std::size_t used_ = 0;
  std::deque<std::size_t> views_{0};
  times arrivals_;
  times second_tries_;
};

struct overload_case {
  const char* name;
  fleet_model::load load;
  /// Whether second tries must end, rather than stay within their limit.
  bool must_end;
};

std::ostream& operator<<(std::ostream& out, const overload_case& each) {
  return out << each.name;
}

const overload_case overload_cases[] = {
    {"overload", {1.5, 1}, true},
    {"all slots are just used", {0.95, 1}, true},
    {"all targets slow down until they are overloaded", {0.5, 4}, true},
    {"all targets slow down, with free slots", {0.15, 3}, false},
    {"the load falls", {0.1, 1}, false},
};

} // namespace

BOOST_DATA_TEST_CASE(fleet_stays_within_the_limit_and_overload_ends_second_tries,
                     data::make(overload_cases), each) {
  fleet_model fleet;
  fleet.run({0.4, 1}, 20s);
  BOOST_TEST(fleet.second_tries_since({}) > 0);
  fleet.run(each.load, 3s);
  const auto settled_at = fleet.now();
  fleet.run(each.load, 20s);
  BOOST_TEST_MESSAGE("second tries " << fleet.second_tries_since({}) << ", after the change "
                                     << fleet.second_tries_since(settled_at));
  BOOST_TEST(fleet.is_within_limit());
  if (each.must_end)
    BOOST_TEST(fleet.second_tries_since(settled_at) == 0);
}
