#include "camphorlug/gateway/demand_meter.h"

#include <cmath>

namespace camphorlug::gateway {

/// Weight of a new hold time in the exponential moving average.
static constexpr double hold_smoothing_factor = 0.03;

static constexpr double averaging_window_seconds =
    std::chrono::duration<double>(demand_meter::averaging_window).count();

double demand_meter::decayed_rate(const flow& known, support::clock::time_point now) {
  const double age = std::chrono::duration<double>(now - known.updated_at).count();
  return known.rate * std::exp(-age / averaging_window_seconds);
}

void demand_meter::count_arrival(const target_pool& pool) {
  flow& known = flows_[pool];
  const auto now = time_.now();
  known.rate = decayed_rate(known, now) + 1 / averaging_window_seconds;
  known.updated_at = now;
}

void demand_meter::record_hold(const target_pool& pool, std::chrono::nanoseconds held) {
  flow& known = flows_[pool];
  const double seconds = std::chrono::duration<double>(held).count();
  known.hold_seconds =
      known.hold_seconds == 0
          ? seconds
          : known.hold_seconds + (seconds - known.hold_seconds) * hold_smoothing_factor;
}

slot_demand demand_meter::demand() const {
  slot_demand slots;
  for (const auto& [pool, known] : flows_)
    slots[pool] = decayed_rate(known, time_.now()) * known.hold_seconds;
  return slots;
}

} // namespace camphorlug::gateway
