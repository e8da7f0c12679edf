#pragma once

#include "camphorlug/gateway/second_try_limits.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// What a second try of a request depends on.
struct second_try_case {
  std::string service;
  /// It may run more than once, and its route and its time allow another attempt.
  bool is_repeatable = false;
  /// Targets that it has been sent to.
  std::size_t attempts = 0;
  /// The caller has a part of the response.
  bool is_answered = false;
  /// It or a part of its prompt may crash targets.
  bool is_suspected = false;
  std::chrono::nanoseconds wait{0};
  /// Time within which nearly all first parts of its class arrive; nothing if unknown.
  std::optional<std::chrono::nanoseconds> usual_time;
};

/// Decides whether a request whose target is slow goes to a second one while the first goes on.
///
/// Answers the load pattern in which a few targets are slow for a while, or a few requests meet a
/// slow moment of a sound target, and others have free slots. In the opposite pattern, where all
/// targets are slow because they are overloaded, all requests are slower than usual, and second
/// tries would add to the cause. So they are limited to a share of the requests of this node, with
/// at most one saved up, whatever the usual time is. Over all nodes, second tries of a service
/// within any time are at most that share of the requests of this time, and one more for each node.
/// None is made while anything waits or too few slots are free. Performs no I/O.
class second_try_policy {
public:
  explicit second_try_policy(second_try_limits limits) : limits_(limits) {}

  bool enabled() const { return limits_.share_of_requests > 0; }
  double quantile() const { return limits_.quantile; }

  void count_request(const std::string& service);

  /// Whether the request is slow and a second try is within the share.
  bool is_due(const second_try_case& request) const;
  /// Whether the pool has room for it. `waiting` is the number of requests that wait for a slot.
  bool has_room(std::size_t waiting, double free_share) const {
    return waiting == 0 && free_share > limits_.required_free_share;
  }
  void count_second_try(const std::string& service);

private:
  second_try_limits limits_;
  /// Second tries allowed now, by service.
  std::map<std::string, double> allowed_;
};

} // namespace camphorlug::gateway
