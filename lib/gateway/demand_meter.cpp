#include "camphorlug/gateway/demand_meter.h"

#include <cmath>

namespace camphorlug::gateway {

/// Weight of a new hold time in the exponential moving average.
static constexpr double hold_smoothing_factor = 0.03;
/// Arrivals per second below which a pool counts as unused.
static constexpr double min_rate = 0.001;

static constexpr double arrival_time_constant_seconds =
    std::chrono::duration<double>(demand_meter::arrival_time_constant).count();

/// Groups are formed for models, whichever homes their requests have.
static target_pool without_homes(const target_pool& pool) {
  return {pool.service, pool.model};
}

double demand_meter::decay(const pool_statistics& statistics, support::clock::time_point now) {
  const double age = std::chrono::duration<double>(now - statistics.updated_at).count();
  return std::exp(-age / arrival_time_constant_seconds);
}

void demand_meter::count_arrival(const target_pool& pool, std::chrono::nanoseconds reading) {
  const auto now = time_.now();
  const auto [found, is_new] = statistics_.try_emplace(without_homes(pool));
  // Callers choose the names of models, so pools that get no requests any more are dropped.
  if (is_new)
    std::erase_if(statistics_, [&](const auto& each) {
      return each.first != found->first && each.second.rate * decay(each.second, now) < min_rate;
    });
  pool_statistics& statistics = found->second;
  const double factor = decay(statistics, now);
  const double reading_seconds = std::chrono::duration<double>(reading).count();
  statistics.rate = statistics.rate * factor + 1 / arrival_time_constant_seconds;
  statistics.reading_slots =
      statistics.reading_slots * factor + reading_seconds / arrival_time_constant_seconds;
  statistics.updated_at = now;
}

void demand_meter::record_hold(const target_pool& pool, std::chrono::nanoseconds held) {
  pool_statistics& statistics = statistics_[without_homes(pool)];
  const double seconds = std::chrono::duration<double>(held).count();
  statistics.hold_seconds =
      statistics.hold_seconds == 0
          ? seconds
          : statistics.hold_seconds + (seconds - statistics.hold_seconds) * hold_smoothing_factor;
}

slot_demand demand_meter::demand() const {
  slot_demand slots;
  for (const auto& [pool, statistics] : statistics_)
    slots[pool] = decay(statistics, time_.now()) *
                  (statistics.rate * statistics.hold_seconds + statistics.reading_slots);
  return slots;
}

} // namespace camphorlug::gateway
