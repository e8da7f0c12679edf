#pragma once

#include "camphorlug/support/task.h"

#include <string>

namespace camphorlug::gateway {

/// Whether a suspected request may be sent to a target.
enum class trial_answer {
  /// It may be sent; equal requests wait for what becomes of it.
  granted,
  /// It may be sent, and so may all equal requests.
  open,
  /// An equal request has been sent and its outcome is not known yet.
  busy,
};

/// What became of a request that was sent with a permit.
enum class trial_step {
  /// The target has answered it, or goes on answering it.
  survived,
  /// It reached no target.
  not_sent,
};

/// Gives the permits to send requests under which a target has crashed; see `request_trials`.
class trial_permits {
public:
  virtual ~trial_permits() = default;

  /// `request` is its identity.
  virtual support::task<trial_answer> ask(std::string request) = 0;
  virtual void report(const std::string& request, trial_step step) = 0;
};

} // namespace camphorlug::gateway
