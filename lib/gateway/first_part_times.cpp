#include "camphorlug/gateway/first_part_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorlug::gateway {

/// Prompts of up to this many tokens are of one class.
static constexpr double smallest_prompt = 256;
static constexpr double max_size_class = 12;
static constexpr std::chrono::seconds half_of_memory = first_part_times::memory / 2;

static int size_class(double prompt_tokens) {
  if (prompt_tokens <= smallest_prompt)
    return 0;
  return static_cast<int>(
      std::min(std::ceil(std::log2(prompt_tokens / smallest_prompt)), max_size_class));
}

response_class::response_class(std::string route_name, target_pool served_by, double prompt_tokens)
    : route(std::move(route_name)), pool(std::move(served_by)), size(size_class(prompt_tokens)) {}

void first_part_times::advance(recent_times& times) const {
  const auto now = time_.now();
  const auto age = now - times.since;
  if (age < half_of_memory)
    return;
  times.previous = age < memory ? times.current : time_histogram();
  times.current = {};
  times.since = now;
}

void first_part_times::drop_unused() {
  std::erase_if(classes_, [now = time_.now()](const auto& entry) {
    return now - entry.second.since >= memory;
  });
}

void first_part_times::record(const response_class& kind, std::chrono::nanoseconds time) {
  if (classes_.size() >= max_classes && !classes_.contains(kind)) {
    drop_unused();
    if (classes_.size() >= max_classes)
      return;
  }
  const auto [found, is_new] = classes_.try_emplace(kind);
  recent_times& times = found->second;
  if (is_new)
    times.since = time_.now();
  advance(times);
  times.current.count(time);
}

void first_part_times::record_minimum(const response_class& kind, std::chrono::nanoseconds time,
                                      double quantile) {
  const auto usual = this->quantile(kind, quantile);
  if (usual && time > *usual)
    record(kind, time);
}

std::optional<std::chrono::nanoseconds> first_part_times::quantile(const response_class& kind,
                                                                   double fraction) {
  const auto found = classes_.find(kind);
  if (found == classes_.end())
    return std::nullopt;
  advance(found->second);
  time_histogram all = found->second.current;
  all.add(found->second.previous);
  if (all.total() < min_samples)
    return std::nullopt;
  return all.quantile(fraction);
}

} // namespace camphorlug::gateway
