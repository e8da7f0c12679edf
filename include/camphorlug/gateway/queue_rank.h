#pragma once

#include "camphorlug/support/clock.h"

namespace camphorlug::gateway {

/// Order of waiting requests: lowest priority number first, then earliest deadline.
struct queue_rank {
  int priority = 5;
  /// Usually the end of the objective; for the wait estimated in a refusal, the request's deadline.
  support::clock::time_point deadline;

  auto operator<=>(const queue_rank&) const = default;
};

} // namespace camphorlug::gateway
