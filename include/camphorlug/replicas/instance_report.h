#pragma once

#include "camphorlug/gateway/group_membership.h"

#include <cstdint>
#include <optional>

namespace camphorlug::replicas {

/// What an instance says about itself when it is asked directly.
struct instance_report {
  /// See `gateway::target_entry::started_at_ms`; 0 if it does not say.
  std::int64_t started_at_ms = 0;
  /// It shuts down.
  bool leaving = false;
  std::optional<gateway::group_membership> membership;
  /// It reports its models and so its membership, if it is in a group.
  bool names_membership = false;
};

/// The outcome of asking an instance for its report.
struct report_result {
  enum class outcome {
    answered,
    /// The connection was refused or another instance answered.
    refused,
    /// Nothing came in time, or nothing that can be read.
    unanswered,
  };

  outcome kind = outcome::unanswered;
  /// Set if the instance answered.
  instance_report report;
};

} // namespace camphorlug::replicas
