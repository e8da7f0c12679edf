#pragma once

#include "camphorlug/gateway/queue_rank.h"
#include "camphorlug/gateway/target_pool.h"
#include "camphorlug/support/clock.h"

#include <set>
#include <string>

namespace camphorlug::gateway {

/// A request for one slot.
struct slot_request {
  target_pool pool;
  queue_rank rank;
  std::set<std::string> avoided;
  /// The wait ends without a slot once this is true; checked every 50 ms.
  const bool* cancelled = nullptr;
  std::string organisation{};
  /// A slot by then lets the response meet its objective; in the past if it cannot be met any more.
  support::clock::time_point in_time_until{};
  /// Tokens of the prompt that the target has to read; 0 if unknown.
  double prompt_tokens = 0;
};

} // namespace camphorlug::gateway
