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
/// Callers choose their limits, and those of one route may begin with different ones. Limits of
/// first requests are equal, those of returns are scattered, so a limit counts as usual if many
/// requests have it.
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

  /// Counts a request and returns how much of the next longer usual limit has passed before it; 0
  /// if its own is usual or it has none. If no limit is usual, the longest one counts as such.
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

    /// Usual limits and the longest one, as of `updated_at`.
    std::set<std::chrono::milliseconds> usual;
    std::chrono::milliseconds longest{0};
    support::clock::time_point updated_at;

    void update();
  };

  support::clock& time_;
  std::map<std::string, route_limits> routes_;
};

} // namespace camphorlug::gateway
