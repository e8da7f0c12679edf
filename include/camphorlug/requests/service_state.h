#pragma once

#include "camphorlug/admission/fair_queue.h"
#include "camphorlug/requests/retry_budget.h"
#include "camphorlug/routing/service_router.h"

#include <cstdint>

namespace camphorlug::requests {

/// State that this node keeps for the requests of one service.
struct service_state {
  service_state(routing::service_router initial_router, support::clock& time,
                support::random_source& random)
      : router(std::move(initial_router)),
        queue(time, random, [this] { return router.free_slots(); }) {}

  routing::service_router router;
  admission::fair_queue queue;
  retry_budget retries;
  /// Number of the document version that was applied last.
  std::uint64_t configured_version = 0;
};

} // namespace camphorlug::requests
