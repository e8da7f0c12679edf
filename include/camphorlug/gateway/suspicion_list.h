#pragma once

#include "camphorlug/support/clock.h"

#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Targets that failed recently. They receive no requests while other targets can
/// serve.
class suspicion_list {
public:
  /// Duration of the first suspension; each further one lasts twice as long, up to
  /// `max_suspension`.
  static constexpr std::chrono::milliseconds initial_suspension{700};
  static constexpr std::chrono::milliseconds max_suspension{6000};
  /// Consecutive failures that do not yet suspend a target, for kinds of failure
  /// that also occur occasionally on a healthy target.
  static constexpr int tolerated_failures = 2;

  explicit suspicion_list(support::clock& time) : time_(time) {}

  /// Suspends the target at once, for failures that show that it cannot serve: no
  /// connection, a stalled stream, or an answer from a different target.
  void suspect(const std::string& target, const std::string& reason);
  /// Counts a failure that can also occur on a healthy target.
  void count_failure(const std::string& target, const std::string& reason);
  /// Ends a suspension by this node, because the target has shown that it goes on. Further
  /// suspensions still grow.
  void end_suspension(const std::string& target);
  /// Forgets all failures and suspicions of the target, including those of peers.
  void count_success(const std::string& target);

  /// Records that a peer suspects the target. It is not passed on, so that
  /// nodes do not prolong each other's suspicions.
  void add_peer_suspicion(const std::string& target);

  bool suspected(const std::string& target) const;
  /// Targets that this node itself suspects, to be sent to its peers.
  std::vector<std::string> own() const;

private:
  struct record {
    int failures = 0;
    int suspensions = 0;
    /// End of the suspension by this node itself.
    support::clock::time_point own_until;
    /// End of the suspicion that peers reported.
    support::clock::time_point peer_until;
  };

  support::clock& time_;
  std::map<std::string, record> records_;
};

} // namespace camphorlug::gateway
