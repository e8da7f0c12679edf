#include "camphorlug/gateway/stall_detector.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <utility>

namespace camphorlug::gateway {

/// How long a stall is reported by `recent_stalls`.
static constexpr std::chrono::milliseconds report_duration{1000};
/// How long the resumption of a stalled target is waited for, to be logged.
static constexpr std::chrono::milliseconds resumption_wait{10'000};

stall_detector::stream::stream(stall_detector& detector, std::string target,
                               std::function<void()> on_stall)
    : detector_(detector), target_(std::move(target)), on_stall_(std::move(on_stall)) {
  detector_.targets_[target_].streams.push_back(this);
}

stall_detector::stream::~stream() {
  const auto found = detector_.targets_.find(target_);
  std::erase(found->second.streams, this);
  if (found->second.streams.empty())
    detector_.targets_.erase(found);
}

void stall_detector::stream::progress() {
  has_written_ = true;
  const auto now = detector_.time_.now();
  detector_.targets_[target_].last_progress = now;
  const auto found = detector_.stalled_.find(target_);
  if (found == detector_.stalled_.end() || std::exchange(found->second.resumed, true))
    return;
  const auto silence = now - found->second.silent_since;
  support::log_event(
      support::log_level::info, "target_resumed",
      {{"target", target_}, {"silent_ms", std::to_string(silence / std::chrono::milliseconds(1))}});
}

void stall_detector::stream::resume() {
  is_paused_ = false;
  detector_.targets_[target_].last_progress = detector_.time_.now();
}

std::vector<std::string> stall_detector::check() {
  const auto now = time_.now();
  const bool process_paused = now - checked_at_ > max_check_gap;
  checked_at_ = now;
  std::vector<std::string> stalled;
  std::vector<std::function<void()>> actions;
  for (auto& [target, state] : targets_) {
    if (process_paused)
      state.last_progress = now;
    const bool writes =
        std::any_of(state.streams.begin(), state.streams.end(),
                    [](const stream* each) { return each->is_expected_to_write(); });
    if (!writes || now - std::max(state.last_progress, state.reported_at) < stall_timeout)
      continue;
    state.reported_at = now;
    stalled.push_back(target);
    stalled_[target] = {state.last_progress, now, false};
    for (const stream* each : state.streams)
      actions.push_back(each->on_stall_);
  }
  std::erase_if(stalled_, [now](const auto& entry) {
    return now - entry.second.detected_at > resumption_wait;
  });
  for (const auto& action : actions)
    action();
  return stalled;
}

bool stall_detector::is_writing(const std::string& target) const {
  const auto found = targets_.find(target);
  if (found == targets_.end())
    return false;
  const bool any = std::any_of(found->second.streams.begin(), found->second.streams.end(),
                               [](const stream* each) { return each->has_written_; });
  return any && time_.now() - found->second.last_progress < stall_timeout;
}

std::vector<std::string> stall_detector::recent_stalls() const {
  std::vector<std::string> targets;
  for (const auto& [target, known] : stalled_) {
    if (time_.now() - known.detected_at < report_duration)
      targets.push_back(target);
  }
  return targets;
}

} // namespace camphorlug::gateway
