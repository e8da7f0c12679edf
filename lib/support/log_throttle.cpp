#include "camphorlug/support/log_throttle.h"

#include <algorithm>

namespace camphorlug::support {

/// A kind that was refused within this time is still being written.
static constexpr std::chrono::seconds silence_before_report{1};

std::optional<std::uint64_t> log_throttle::admit(const std::string& kind, time_point now) {
  const auto [entry, is_new] = kinds_.try_emplace(kind);
  allowance& left = entry->second;
  const std::chrono::duration<double> since = now - left.refilled_at;
  left.lines = is_new ? rate_.burst
                      : std::min(rate_.burst, left.lines + since.count() * rate_.lines_per_second);
  left.refilled_at = now;
  if (left.lines < 1) {
    ++left.omitted;
    return std::nullopt;
  }
  left.lines -= 1;
  return std::exchange(left.omitted, 0);
}

std::vector<std::pair<std::string, std::uint64_t>> log_throttle::take_unreported(time_point now) {
  std::vector<std::pair<std::string, std::uint64_t>> silent;
  for (auto& [kind, left] : kinds_) {
    if (left.omitted > 0 && now - left.refilled_at >= silence_before_report)
      silent.emplace_back(kind, std::exchange(left.omitted, 0));
  }
  return silent;
}

} // namespace camphorlug::support
