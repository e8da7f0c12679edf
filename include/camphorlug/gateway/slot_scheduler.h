#pragma once

#include "camphorlug/gateway/chosen_target.h"
#include "camphorlug/gateway/slot_request.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <optional>

namespace camphorlug::gateway {

/// What a scheduler decided about a request for a slot.
struct scheduled_slot {
  enum class outcome {
    granted,
    /// No slot becomes free in time.
    refused,
    /// The scheduler does not answer or knows no target; the node decides by itself.
    unavailable,
  };
  outcome result = outcome::unavailable;
  /// Set if granted.
  chosen_target target;
  /// Set if refused: when a later request is expected to get a slot.
  std::chrono::nanoseconds retry_after{0};
};

/// Assigns the slots of targets to the requests of all nodes.
class slot_scheduler {
public:
  slot_scheduler() = default;
  slot_scheduler(const slot_scheduler&) = delete;
  slot_scheduler& operator=(const slot_scheduler&) = delete;
  virtual ~slot_scheduler() = default;

  /// Whether requests for slots of the pool go to a scheduler now.
  virtual bool schedules(const target_pool& pool) = 0;

  /// Asks for a slot. It must be granted by `until`. Each grant requires one call of `release`.
  virtual support::task<scheduled_slot> acquire(slot_request request,
                                                support::clock::time_point until) = 0;

  virtual void release(const target_pool& pool, const std::string& target) = 0;
};

} // namespace camphorlug::gateway
