#include "camphorlug/gateway/usual_time_limits.h"

#include <algorithm>
#include <utility>

namespace camphorlug::gateway {

using std::chrono::milliseconds;

/// Further limits of a route are not remembered, since callers choose them.
static constexpr std::size_t max_limits = 1000;

/// The limit that the given part of the requests doesn't exceed.
static milliseconds quantile(const std::map<milliseconds, std::size_t>& counts, double part) {
  std::size_t total = 0;
  for (const auto& [limit, count] : counts)
    total += count;
  double left = part * static_cast<double>(total);
  for (const auto& [limit, count] : counts) {
    left -= static_cast<double>(count);
    if (left <= 0)
      return limit;
  }
  return counts.empty() ? milliseconds(0) : counts.rbegin()->first;
}

void usual_time_limits::route_limits::update() {
  std::map<milliseconds, std::size_t> sums = previous.by_limit;
  for (const auto& [limit, count] : current.by_limit)
    sums[limit] += count;
  const double least = std::max(static_cast<double>(min_count),
                                min_share * static_cast<double>(current.total + previous.total));
  usual.clear();
  for (const auto& [limit, count] : sums) {
    if (static_cast<double>(count) >= least)
      usual.insert(limit);
  }
  least_first = sums.empty() ? milliseconds(0) : sums.rbegin()->first;
  const bool is_few = current.total + previous.total <= 2 * min_count;
  if (is_few || !usual.empty())
    return;
  const milliseconds upper = quantile(sums, upper_quantile);
  const milliseconds spread = upper - quantile(sums, lower_quantile);
  least_first = upper - std::chrono::duration_cast<milliseconds>(spread * spread_factor);
}

std::chrono::nanoseconds usual_time_limits::time_used(const std::string& route,
                                                      std::optional<milliseconds> limit) {
  if (!limit)
    return {};
  const auto now = time_.now();
  const auto [found, is_new] = routes_.try_emplace(route);
  route_limits& seen = found->second;
  if (is_new || now - seen.since >= memory) {
    seen.previous = std::exchange(seen.current, {});
    seen.since = now;
  }
  ++seen.current.total;
  if (seen.current.by_limit.size() < max_limits || seen.current.by_limit.contains(*limit))
    ++seen.current.by_limit[*limit];
  const bool is_few = seen.current.total + seen.previous.total <= 2 * min_count;
  if (is_few || now - seen.updated_at >= update_interval) {
    seen.update();
    seen.updated_at = now;
  }
  if (seen.usual.empty())
    return std::max(seen.least_first, *limit) - *limit;
  const auto next = seen.usual.lower_bound(*limit);
  return next == seen.usual.end() ? milliseconds(0) : *next - *limit;
}

} // namespace camphorlug::gateway
