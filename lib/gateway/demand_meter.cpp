#include "camphorlug/gateway/demand_meter.h"

#include <cmath>

namespace camphorlug::gateway {

/// Weight of a new hold time in the exponential moving average.
static constexpr double hold_smoothing_factor = 0.03;

static constexpr double averaging_window_seconds =
    std::chrono::duration<double>(demand_meter::averaging_window).count();

double demand_meter::decayed_rate(const flow& pool_flow, support::clock::time_point now) {
  const double age = std::chrono::duration<double>(now - pool_flow.updated_at).count();
  return pool_flow.rate * std::exp(-age / averaging_window_seconds);
}

void demand_meter::count_arrival(const target_pool& pool) {
  flow& pool_flow = flows_[pool];
  const auto now = time_.now();
  pool_flow.rate = decayed_rate(pool_flow, now) + 1 / averaging_window_seconds;
  pool_flow.updated_at = now;
}

void demand_meter::record_hold(const target_pool& pool, std::chrono::nanoseconds held) {
  flow& pool_flow = flows_[pool];
  const double seconds = std::chrono::duration<double>(held).count();
  pool_flow.hold_seconds =
      pool_flow.hold_seconds == 0
          ? seconds
          : pool_flow.hold_seconds + (seconds - pool_flow.hold_seconds) * hold_smoothing_factor;
}

slot_demand demand_meter::demand() const {
  slot_demand slots;
  for (const auto& [pool, pool_flow] : flows_)
    slots[pool] = decayed_rate(pool_flow, time_.now()) * pool_flow.hold_seconds;
  return slots;
}

} // namespace camphorlug::gateway
