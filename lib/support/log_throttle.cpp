#include "camphorlug/support/log_throttle.h"

#include <algorithm>

namespace camphorlug::support {

/// A kind is inactive when no line of it, written or omitted, was logged for this long. The
/// next written line of an active kind reports its omitted lines itself.
static constexpr std::chrono::seconds inactivity_timeout{1};

std::optional<std::uint64_t> log_throttle::admit(const std::string& kind, time_point now) {
  const auto [entry, is_new] = buckets_.try_emplace(kind);
  token_bucket& bucket = entry->second;
  const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
  bucket.tokens =
      is_new ? rate_.burst
             : std::min(rate_.burst, bucket.tokens + elapsed.count() * rate_.lines_per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.omitted;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.omitted, 0);
}

std::vector<std::pair<std::string, std::uint64_t>>
log_throttle::take_inactive_omitted_counts(time_point now) {
  std::vector<std::pair<std::string, std::uint64_t>> counts;
  for (auto& [kind, bucket] : buckets_) {
    if (bucket.omitted > 0 && now - bucket.refilled_at >= inactivity_timeout)
      counts.emplace_back(kind, std::exchange(bucket.omitted, 0));
  }
  return counts;
}

} // namespace camphorlug::support
