#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// Learns the time limits with which callers of a route begin, to recognise requests that return
/// after a refusal: their limit is shorter by the time that has passed.
///
/// Callers choose their limits, and those of one route may begin with different ones. Where first
/// requests have equal limits and those of returns are scattered, a limit counts as usual if many
/// requests have it. Where each caller has a limit of its own, those of first requests are taken to
/// be spread evenly, and only what is shorter than all of them is a return.
class usual_time_limits {
public:
  /// A limit counts for this long at least after its last use.
  static constexpr std::chrono::seconds memory{5};

  /// Fraction of a route's requests that have a limit that counts as usual.
  static constexpr double min_share = 0.1;
  /// Fewer equal limits may be returns after the same wait.
  static constexpr std::size_t min_count = 10;
  /// A limit that comes into use counts as usual this long after that.
  static constexpr std::chrono::milliseconds update_interval{200};

  explicit usual_time_limits(support::clock& time) : time_(time) {}

  /// Quantiles of a route's limits, and the distance of the least limit of first requests below the
  /// upper one, as a multiple of the distance between them.
  static constexpr double lower_quantile = 0.5;
  static constexpr double upper_quantile = 0.9;
  static constexpr double spread_factor = upper_quantile / (upper_quantile - lower_quantile);

  /// Counts a request and returns how much of the next longer usual limit has passed before it; 0
  /// if its own is usual or it has none. If no limit is usual, the least one of first requests
  /// counts as such.
  std::chrono::nanoseconds time_used(const std::string& route,
                                     std::optional<std::chrono::milliseconds> limit);

private:
  struct limit_counts {
    std::map<std::chrono::milliseconds, std::size_t> by_limit;
    std::size_t total = 0;
  };
  struct route_limits {
    limit_counts current;
    limit_counts previous;
    support::clock::time_point since;

    /// Usual limits and the least one of first requests, as of `updated_at`.
    std::set<std::chrono::milliseconds> usual;
    std::chrono::milliseconds least_first{0};
    support::clock::time_point updated_at;

    void update();
  };

  support::clock& time_;
  std::map<std::string, route_limits> routes_;
};

} // namespace camphorlug::gateway
