#pragma once

#include "camphorlug/gateway/crash_record.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

namespace camphorlug::edge {

/// Tells whether a process that accepts no connections any more has closed a connection itself,
/// because it shuts down and has completed the response, or because it has died.
///
/// A process that shuts down stops listening, completes its responses and exits; until then it
/// writes its row in the store, and its row is removed when it has exited. The row of a process
/// that has died stays for some report intervals without a new report.
class departure_checker {
public:
  /// A read of the rows that takes longer than this is given up.
  static constexpr std::chrono::milliseconds read_timeout{300};

  /// External dependencies. Every referenced object must outlive the checker.
  struct context {
    support::clock& time;
    const gateway::target_registry& registry;
    /// Reads the rows of all targets from the store; returns whether it answered.
    std::function<support::task<bool>()> read_targets;
  };

  /// How processes shut down.
  struct timing {
    /// Time for which they accept connections after they have reported that they shut down.
    std::chrono::milliseconds accepts_for{2000};
    /// Interval between two reports.
    std::chrono::milliseconds report_interval{1200};
  };

  departure_checker(context dependencies, timing limits)
      : context_(std::move(dependencies)), timing_(limits) {}

  void change_timing(timing limits) { timing_ = limits; }

  /// Returns whether the process that `target` names, whose port is closed, has itself ended the
  /// response that ended at `ended_at`. Waits for its next report until `until` at most. Without
  /// any news of the process it must have had the time to stop listening, and only one response may
  /// have ended: the kernel closes all connections of a process at once.
  support::task<bool> has_completed(gateway::target_entry target,
                                    support::clock::time_point ended_at,
                                    support::clock::time_point until);

private:
  enum class evidence { none, lives, has_left, has_failed };

  support::task<evidence> wait_for_evidence(const gateway::target_entry& target,
                                            support::clock::time_point ended_at,
                                            support::clock::time_point until);
  /// Reports count if they came after `compared_since`.
  evidence find_evidence(const gateway::target_entry& target, support::clock::time_point ended_at,
                         std::optional<support::clock::time_point> compared_since) const;
  /// Reads the rows unless they were read a moment ago.
  support::task<> read_if_due();
  void record_end(const gateway::target_start& process, support::clock::time_point ended_at);
  bool has_ended_alone(const gateway::target_start& process,
                       support::clock::time_point ended_at) const;
  bool has_had_time_to_stop_listening(const gateway::target_entry& target,
                                      support::clock::time_point ended_at) const;

  context context_;
  timing timing_;
  /// The responses that ended lately at processes whose port is closed, oldest first.
  std::deque<std::pair<support::clock::time_point, gateway::target_start>> ends_;
  support::clock::time_point reads_next_at_;
  /// When the latest read that was answered began.
  std::optional<support::clock::time_point> read_at_;
};

} // namespace camphorlug::edge
