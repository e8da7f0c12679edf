#pragma once

#include "camphorlug/gateway/target_pool.h"
#include "camphorlug/gateway/time_histogram.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// Requests whose responses usually take about the same time.
struct response_class {
  /// `prompt_tokens` is 0 if unknown.
  response_class(std::string route_name, target_pool served_by, double prompt_tokens);
  auto operator<=>(const response_class&) const = default;

  std::string route;
  target_pool pool;
  /// Grows by one when the prompt doubles.
  int size;
};

/// Times from the sending of a request to the first part of its response that can be forwarded, by
/// class, over a sliding time.
class first_part_times {
public:
  /// A time counts for between half of this and all of it.
  static constexpr std::chrono::seconds memory{60};
  /// Fewer times say too little about a quantile.
  static constexpr std::size_t min_samples = 100;
  /// Bounds memory. Callers choose the names of models.
  static constexpr std::size_t max_classes = 1000;

  explicit first_part_times(support::clock& time) : time_(time) {}

  void record(const response_class& kind, std::chrono::nanoseconds time);
  /// Records that there was no first part within `time`. Without these times, those of requests
  /// that are given up, the quantile would fall. Below the quantile such a time says nothing.
  void record_minimum(const response_class& kind, std::chrono::nanoseconds time, double quantile);

  /// Nothing if there are fewer than `min_samples`.
  std::optional<std::chrono::nanoseconds> quantile(const response_class& kind, double fraction);

private:
  struct recent_times {
    time_histogram current;
    time_histogram previous;
    support::clock::time_point since;
  };
  /// Drops what is too old.
  void advance(recent_times& times) const;
  /// Drops the classes without recent times.
  void drop_unused();

  support::clock& time_;
  std::map<response_class, recent_times> classes_;
};

} // namespace camphorlug::gateway
