#pragma once

#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>

namespace camphorlug::gateway {

/// Slots that each pool's requests would keep busy, by pool.
using slot_demand = std::map<target_pool, double>;

/// Measures the slots that this node's requests need: how many come, times how
/// long one holds a slot. Requests that were refused count too, so that the
/// demand shows also while there is no place for it.
class demand_meter {
public:
  /// Time over which arrivals are averaged.
  static constexpr std::chrono::seconds averaging_window{4};

  explicit demand_meter(support::clock& time) : time_(time) {}

  void count_arrival(const target_pool& pool);
  /// A request held a slot for so long.
  void record_hold(const target_pool& pool, std::chrono::nanoseconds held);

  slot_demand demand() const;

private:
  struct flow {
    /// Arrivals a second, exponentially averaged.
    double rate = 0;
    support::clock::time_point updated_at;
    double hold_seconds = 0;
  };

  static double decayed(const flow& known, support::clock::time_point now);

  support::clock& time_;
  std::map<target_pool, flow> flows_;
};

} // namespace camphorlug::gateway
