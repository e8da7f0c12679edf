#pragma once

#include "camphorlug/support/clock.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace camphorlug::gateway {

/// Limits on retries, summed over all nodes.
struct retry_limits {
  /// Retries allowed per request of a window.
  double ratio = 0.2;
  std::chrono::milliseconds window{10'000};
  /// Retries allowed per window in addition to the ratio.
  double slack = 100;
};

/// Enforces this node's share of the retries that all nodes together may make.
class retry_limiter {
public:
  /// Fraction of the limit that is used. The margin is needed because each node counts in its own
  /// sliding window and the number of nodes changes.
  static constexpr double safety_factor = 0.7;

  /// `nodes` returns the number of nodes that share the slack.
  retry_limiter(support::clock& time, retry_limits limits, std::function<std::size_t()> nodes)
      : time_(time), limits_(limits), nodes_(std::move(nodes)) {}

  /// Requests and retries counted so far count against the new limits.
  void change_limits(retry_limits limits) { limits_ = limits; }

  void count_request(const std::string& service);

  /// Requests, retries and retry limit of one service in the current window.
  struct budget {
    std::size_t requests = 0;
    std::size_t retries = 0;
    /// Maximum number of retries of this node in the window.
    double bound = 0;
  };
  std::map<std::string, budget> budgets() const;

  /// Whether another retry is allowed now.
  bool can_retry(const std::string& service);

  /// Consumes one retry if one is allowed. Returns whether it was.
  bool try_acquire(const std::string& service);

private:
  struct history {
    std::deque<support::clock::time_point> requests;
    std::deque<support::clock::time_point> retries;
  };

  void prune_history(history& past) const;
  double retry_bound(const history& past) const;

  support::clock& time_;
  retry_limits limits_;
  std::function<std::size_t()> nodes_;
  std::map<std::string, history> services_;
};

} // namespace camphorlug::gateway
