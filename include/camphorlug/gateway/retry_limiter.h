#pragma once

#include "camphorlug/support/clock.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace camphorlug::gateway {

/// Bounds of the sendings beyond the first of each request, over all nodes.
struct retry_limits {
  /// Further sendings for each request of a window.
  double ratio = 0.2;
  std::chrono::milliseconds window{10'000};
  /// Further sendings of a window whatever its requests.
  double slack = 100;
};

/// This node's share of the retries that all nodes together may make.
class retry_limiter {
public:
  /// Part of the bound that is used, since windows slide and nodes come and go.
  static constexpr double safety_factor = 0.7;

  /// `nodes` tells how many nodes share the slack.
  retry_limiter(support::clock& time, retry_limits limits, std::function<std::size_t()> nodes)
      : time_(time), limits_(limits), nodes_(std::move(nodes)) {}

  /// What was counted so far counts against the new bounds.
  void change_limits(retry_limits limits) { limits_ = limits; }

  void count_request(const std::string& service);

  /// What one service's requests and retries of the window come to.
  struct budget {
    std::size_t requests = 0;
    std::size_t retries = 0;
    /// Retries that this node may make in the window.
    double bound = 0;
  };
  std::map<std::string, budget> budgets() const;

  /// Whether there is a retry left.
  bool can_retry(const std::string& service);

  /// Takes one retry if there is one left.
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
