#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Detects targets that have stopped processing. An engine writes to all its streams in every
/// decoding step (forward pass), so a target that has written to none of its open streams for
/// `stall_timeout`, after it had written to at least one, has stalled, for example because a member
/// of its group is gone. This is detected much sooner than by the timeouts of the streams
/// themselves.
class stall_detector {
public:
  /// Several times the longest decoding step of a fully loaded engine.
  static constexpr std::chrono::milliseconds stall_timeout{450};
  /// If consecutive checks are further apart than this, this process itself was paused.
  static constexpr std::chrono::milliseconds max_check_gap{200};

  /// Registers one stream at a target until destruction.
  class stream {
  public:
    stream(stall_detector& detector, std::string target, std::function<void()> on_stall);
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// Records that the target has written to the stream.
    void progress();

    /// While paused, nothing is read from the stream, so its silence says nothing of the target.
    void pause() { is_paused_ = true; }
    void resume();

  private:
    friend class stall_detector;
    stall_detector& detector_;
    std::string target_;
    std::function<void()> on_stall_;
    bool has_written_ = false;
    bool is_paused_ = false;

    bool is_expected_to_write() const { return has_written_ && !is_paused_; }
  };

  explicit stall_detector(support::clock& time) : time_(time) {}

  /// Calls `on_stall` of all streams of stalled targets and returns these targets, once in each
  /// `stall_timeout` while the silence lasts. Must be called about every 50 ms.
  std::vector<std::string> check();

  /// Whether the target has written to an open stream within `stall_timeout`.
  bool is_writing(const std::string& target) const;

  /// Targets that stalled recently, for the group planner.
  std::vector<std::string> recent_stalls() const;

private:
  struct activity {
    std::vector<stream*> streams;
    support::clock::time_point last_progress;
    /// Time of the latest report of its stall.
    support::clock::time_point reported_at;
  };

  struct stall {
    support::clock::time_point silent_since;
    /// Time of the latest report during the silence.
    support::clock::time_point detected_at;
    /// The target has written to a stream since.
    bool resumed = false;
  };

  support::clock& time_;
  std::map<std::string, activity> targets_;
  std::map<std::string, stall> stalled_;
  support::clock::time_point checked_at_;
};

} // namespace camphorlug::gateway
