#pragma once

#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>

namespace camphorlug::gateway {

/// Average number of slots that the requests of each pool need.
using slot_demand = std::map<target_pool, double>;

/// Estimates the slots that the requests at this node need, as arrival rate times mean hold time.
/// Refused requests count too, so that the estimate includes demand that exceeds the capacity.
class demand_meter {
public:
  /// Time constant of the exponential average of arrivals.
  static constexpr std::chrono::seconds arrival_time_constant{4};

  explicit demand_meter(support::clock& time) : time_(time) {}

  void count_arrival(const target_pool& pool);
  /// Records that a request held a slot for `held`.
  void record_hold(const target_pool& pool, std::chrono::nanoseconds held);

  slot_demand demand() const;

private:
  struct pool_statistics {
    /// Arrivals per second, exponentially averaged.
    double rate = 0;
    support::clock::time_point updated_at;
    double hold_seconds = 0;
  };

  static double decayed_rate(const pool_statistics& statistics, support::clock::time_point now);

  support::clock& time_;
  std::map<target_pool, pool_statistics> statistics_;
};

} // namespace camphorlug::gateway
