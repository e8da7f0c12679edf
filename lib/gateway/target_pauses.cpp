#include "camphorlug/gateway/target_pauses.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::gateway {

void target_pauses::pause(const std::string& target, std::int64_t started_at_ms,
                          std::chrono::nanoseconds wait) {
  const auto now = time_.now();
  const auto until = now + std::min<std::chrono::nanoseconds>(wait, max_wait);
  record& known = records_[target];
  if (known.started_at_ms != started_at_ms || known.until <= now)
    support::log_event(support::log_level::info, "target_paused",
                       {{"target", target},
                        {"for_ms", std::to_string((until - now) / std::chrono::milliseconds(1))}});
  if (known.started_at_ms != started_at_ms)
    known = {started_at_ms, until};
  known.until = std::max(known.until, until);
}

std::optional<support::clock::time_point> target_pauses::end(const std::string& target,
                                                             std::int64_t started_at_ms) const {
  const auto found = records_.find(target);
  if (found == records_.end() || found->second.started_at_ms != started_at_ms ||
      found->second.until <= time_.now())
    return std::nullopt;
  return found->second.until;
}

void target_pauses::expire() {
  std::erase_if(records_, [&](const auto& each) { return each.second.until <= time_.now(); });
}

} // namespace camphorlug::gateway
