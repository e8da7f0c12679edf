#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorlug::support {

/// Rate limit for the log lines of one kind.
struct log_rate {
  /// Average rate. The default is several times the 35 or so requests per second of a node at
  /// its planned share of the load.
  double lines_per_second = 100;
  /// Maximum number of lines at once after a period without lines.
  double burst = 200;
};

/// Limits the log rate under load with a token bucket per kind of line, so that a flood of
/// routine lines does not suppress failures.
class log_throttle {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit log_throttle(log_rate rate) : rate_(rate) {}

  /// Decides whether a line of `kind` may be written. Returns nothing when it may not,
  /// otherwise the number of lines of that kind omitted since the last written one.
  std::optional<std::uint64_t> admit(const std::string& kind, time_point now);

  /// Returns the omitted-line count of each inactive kind. A kind is inactive when no line of
  /// it, written or omitted, was logged for one second. Each count is returned only once.
  std::vector<std::pair<std::string, std::uint64_t>> take_inactive_omitted_counts(time_point now);

private:
  struct token_bucket {
    double tokens = 0;
    time_point refilled_at{};
    std::uint64_t omitted = 0;
  };

  log_rate rate_;
  std::map<std::string, token_bucket> buckets_;
};

} // namespace camphorlug::support
