#include "camphorlug/gateway/usual_time_limits.h"

#include <algorithm>

namespace camphorlug::gateway {

std::chrono::nanoseconds
usual_time_limits::time_used(const std::string& route,
                             std::optional<std::chrono::milliseconds> limit) {
  if (!limit)
    return {};
  const auto now = time_.now();
  const auto [found, is_new] = longest_.try_emplace(route);
  longest& seen = found->second;
  if (is_new || now - seen.since >= memory) {
    seen.previous = seen.current;
    seen.current = {};
    seen.since = now;
  }
  seen.current = std::max(seen.current, *limit);
  return std::max(seen.current, seen.previous) - *limit;
}

} // namespace camphorlug::gateway
