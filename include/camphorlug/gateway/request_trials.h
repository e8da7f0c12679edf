#pragma once

#include "camphorlug/gateway/crash_cause_list.h"
#include "camphorlug/gateway/trial_permits.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace camphorlug::gateway {

/// Lets one of several equal requests reach a target while crashes accuse them and no answer has
/// cleared them.
///
/// Answers a load pattern: a request that crashes each target that runs it arrives at several nodes
/// in the same moment. It would end as many targets each time, and crashes at the same moment count
/// as one, so that the ban needs three such moments. A sound request waits for one answer after all
/// of its targets were lost. Performs no I/O; one node decides for all, see `fleet_trial_permits`.
class request_trials {
public:
  /// A trial of which nothing is heard ends after this time. Until then, a crash is confirmed and
  /// known to all nodes.
  static constexpr std::chrono::milliseconds trial_time{1500};
  /// Equal requests are sent freely for this time after one has survived, unless a further crash
  /// accuses them.
  static constexpr std::chrono::milliseconds open_time{10'000};
  /// The crashes that a node has reported are remembered for this time after the last equal
  /// request, in which other nodes may not know them yet.
  static constexpr std::chrono::milliseconds memory_time{1500};

  request_trials(support::clock& time, const crash_cause_list& causes)
      : time_(time), causes_(causes) {}

  /// Decides about a request at `node`, which knows of `crashes` under equal requests.
  trial_answer ask(const std::string& request, const std::string& node, std::size_t crashes);

  /// Records what became of a request from `node`.
  void record(const std::string& request, const std::string& node, trial_step step);

private:
  struct trial {
    /// Crashes that were known when it was granted.
    std::size_t crashes = 0;
    std::string node;
    support::clock::time_point asked_at = support::clock::time_point::min();
    support::clock::time_point ends_at = support::clock::time_point::min();
    support::clock::time_point open_until = support::clock::time_point::min();
  };

  support::clock& time_;
  const crash_cause_list& causes_;
  std::map<std::string, trial> trials_;
};

} // namespace camphorlug::gateway
