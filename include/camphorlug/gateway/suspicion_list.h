#pragma once

#include "camphorlug/support/clock.h"

#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Targets that failed lately and get nothing while others can serve.
class suspicion_list {
public:
  /// First suspension; each further failure doubles it.
  static constexpr std::chrono::milliseconds initial_suspension{700};
  static constexpr std::chrono::milliseconds max_suspension{6000};
  /// Failures in a row before a target is suspended, for failures that a
  /// sound target may have now and then.
  static constexpr int tolerated_failures = 2;

  explicit suspicion_list(support::clock& time) : time_(time) {}

  /// A sign that the target cannot serve: no connection, a stall, another's answer.
  void suspect(const std::string& target, const std::string& reason);
  /// A failure that may also befall a sound target.
  void count_failure(const std::string& target, const std::string& reason);
  void count_success(const std::string& target);

  /// A peer suspects the target.
  void add_peer_suspicion(const std::string& target);

  bool suspected(const std::string& target) const;
  /// Targets that this node itself found suspect, for its peers.
  std::vector<std::string> own() const;

private:
  struct record {
    int failures = 0;
    int suspensions = 0;
    support::clock::time_point until;
    bool own = false;
  };

  support::clock& time_;
  std::map<std::string, record> records_;
};

} // namespace camphorlug::gateway
