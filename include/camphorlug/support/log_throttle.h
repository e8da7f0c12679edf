#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorlug::support {

/// How many log lines of one kind may be written.
struct log_rate {
  /// Lines a second, on average. A node serves some 35 requests a second at its
  /// planned share of the load; this leaves room for several times that.
  double lines_per_second = 100;
  /// Lines at once after a quiet time.
  double burst = 200;
};

/// Bounds the log under load: each kind of line has a rate of its own, so that
/// a flood of usual lines leaves room for failures.
class log_throttle {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit log_throttle(log_rate rate) : rate_(rate) {}

  /// Whether a line of `kind` may be written now: nothing when it may not, else
  /// the number of lines of that kind that were left out since the last one.
  std::optional<std::uint64_t> admit(const std::string& kind, time_point now);

  /// Kinds that have left lines out and then fell silent, with how many; each is told once.
  std::vector<std::pair<std::string, std::uint64_t>> take_unreported(time_point now);

private:
  struct allowance {
    double lines = 0;
    time_point refilled_at{};
    std::uint64_t omitted = 0;
  };

  log_rate rate_;
  std::map<std::string, allowance> kinds_;
};

} // namespace camphorlug::support
