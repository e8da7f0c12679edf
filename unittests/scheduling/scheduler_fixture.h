#pragma once

#include "camphorlug/scheduling/pool_scheduler.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// What a test states of a request; times are from now on.
struct ask_options {
  std::string node = "n0";
  std::string data_centre = "dc-0";
  std::string organisation = "org";
  int priority = 2;
  std::chrono::nanoseconds in_time = std::chrono::seconds(1);
  std::chrono::nanoseconds latest = std::chrono::seconds(1);
  double prompt_tokens = 0;
  std::set<std::string> avoided = {};
};

/// A request and the decision on it.
struct asked_slot {
  std::uint64_t number = 0;
  int decisions = 0;
  std::optional<gateway::scheduled_slot> result;

  bool decided() const { return result.has_value(); }
  bool is(gateway::scheduled_slot::outcome outcome) const {
    return result && result->result == outcome;
  }
  bool granted() const { return is(gateway::scheduled_slot::outcome::granted); }
};

/// A scheduler in virtual time with equal targets, spread over two data centres.
struct scheduler_fixture {
  scheduler_fixture(std::size_t target_count, std::size_t slots)
      : clock(context), scheduler(clock) {
    for (std::size_t i = 0; i < target_count; ++i) {
      schedulable_target each;
      each.target.id = "t" + std::to_string(i);
      each.target.slots = slots;
      each.data_centre = "dc-" + std::to_string(i % 2);
      targets.push_back(each);
    }
    run_for(std::chrono::seconds(10));
    scheduler.set_targets(targets, 0);
  }

  slot_ask make(const ask_options& options) {
    slot_ask made;
    made.node = options.node;
    made.data_centre = options.data_centre;
    made.organisation = options.organisation;
    made.priority = options.priority;
    made.in_time_until = clock.now() + options.in_time;
    made.latest_start = clock.now() + std::max(options.in_time, options.latest);
    made.prompt_tokens = options.prompt_tokens;
    made.avoided = options.avoided;
    return made;
  }

  const asked_slot& ask(const ask_options& options) {
    asked_slot& asked = all.emplace_back();
    asked.number = scheduler.submit(make(options), [&asked](const gateway::scheduled_slot& result) {
      ++asked.decisions;
      asked.result = result;
    });
    return asked;
  }

  void release(const std::string& node, const std::string& target) {
    scheduler.release(node, target);
  }

  /// Lets each node report its slots, so that none counts as gone.
  void keep_nodes() { scheduler.release("n0", "none"); }

  void run_for(std::chrono::nanoseconds span) { clock.run_for(span); }

  double granted() const {
    double count = 0;
    for (const asked_slot& each : all)
      count += each.granted() ? 1 : 0;
    return count;
  }

  asio::io_context context;
  support::virtual_clock clock;
  pool_scheduler scheduler;
  std::vector<schedulable_target> targets;
  std::deque<asked_slot> all;
};

} // namespace camphorlug::scheduling
