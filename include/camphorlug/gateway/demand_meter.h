#pragma once

#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <map>

namespace camphorlug::gateway {

/// Average number of slots that the requests of each pool need.
using slot_demand = std::map<target_pool, double>;

/// Estimates the slots that the requests at this node need: arrival rate times mean hold time, and
/// the slot time that reading their prompts takes from all slots of a group. Refused requests
/// count too, so that the estimate includes demand that exceeds the capacity.
///
/// Answers models with prompts of different length: a hold counts one slot while a prompt is read,
/// although the others of the group wait, so that holds alone move groups from the model with few
/// long prompts to the one with many short ones.
class demand_meter {
public:
  /// Time constant of the exponential average of arrivals.
  static constexpr std::chrono::seconds arrival_time_constant{4};

  explicit demand_meter(support::clock& time) : time_(time) {}

  /// `reading` is the slot time that reading the prompt takes; 0 if unknown.
  void count_arrival(const target_pool& pool,
                     std::chrono::nanoseconds reading = std::chrono::nanoseconds(0));
  /// Records that a request held a slot for `held`.
  void record_hold(const target_pool& pool, std::chrono::nanoseconds held);

  slot_demand demand() const;

private:
  struct pool_statistics {
    /// Arrivals per second, exponentially averaged.
    double rate = 0;
    /// Slot seconds a second that reading takes, averaged in the same way.
    double reading_slots = 0;
    support::clock::time_point updated_at;
    double hold_seconds = 0;
  };

  /// Returns the factor by which averages have decayed since the last arrival.
  static double decay(const pool_statistics& statistics, support::clock::time_point now);

  support::clock& time_;
  std::map<target_pool, pool_statistics> statistics_;
};

} // namespace camphorlug::gateway
