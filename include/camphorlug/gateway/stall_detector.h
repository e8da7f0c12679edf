#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Finds targets that have stopped in the middle of their work. An engine
/// writes to all its streams in every pass, so one that has not written to any
/// for a while stands still, as when a member of its group is gone. That shows
/// much sooner than each stream's own limit.
class stall_detector {
public:
  /// Several times the longest pass of a full engine.
  static constexpr std::chrono::milliseconds stall_timeout{450};
  /// When the checks come later than this, this process stood still itself.
  static constexpr std::chrono::milliseconds max_check_gap{200};

  /// One stream at a target; ends on destruction.
  class stream {
  public:
    stream(stall_detector& watch, std::string target, std::function<void()> on_stall);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// The target has written to it.
    void progress();

  private:
    friend class stall_detector;
    stall_detector& watch_;
    std::string target_;
    std::function<void()> on_stall_;
    bool writing_ = false;
  };

  explicit stall_detector(support::clock& time) : time_(time) {}

  /// Ends the streams of stalled targets and returns those targets. Call it
  /// every 50 ms or so.
  std::vector<std::string> check();

  /// Whether a target has written to any stream within `stall_after`.
  bool is_writing(const std::string& target) const;

  /// Targets that stalled a moment ago, for the planner of the groups.
  std::vector<std::string> recent_stalls() const;

private:
  struct activity {
    std::vector<stream*> streams;
    support::clock::time_point last_progress;
  };

  support::clock& time_;
  std::map<std::string, activity> targets_;
  std::map<std::string, support::clock::time_point> stalled_;
  support::clock::time_point checked_at_;
};

} // namespace camphorlug::gateway
