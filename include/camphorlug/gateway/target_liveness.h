#pragma once

#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/support/task.h"

#include <chrono>

namespace camphorlug::gateway {

/// Tells whether the process of a target has outlived the end of its response.
///
/// A response without a length or chunks ends with its connection. The kernel closes the
/// connections of a process that dies in the same way, so such an end says nothing by itself. If
/// the process has outlived it, or has shut down in order, the process has made it.
class target_liveness {
public:
  target_liveness() = default;
  target_liveness(const target_liveness&) = delete;
  target_liveness& operator=(const target_liveness&) = delete;
  virtual ~target_liveness() = default;

  /// Returns whether the process that `target` names by its id and start has answered a question
  /// that was sent after this call, or shuts down and has done no less than complete its responses.
  /// False if nothing shows it within `timeout`, or if the process says that it has cut off its
  /// work: its group is broken, or it is no longer in the group with the epoch of `target`.
  virtual support::task<bool> is_running(target_entry target, std::chrono::nanoseconds timeout) = 0;
};

} // namespace camphorlug::gateway
