#pragma once

#include "camphorlug/gateway/gateway_metrics.h"
#include "camphorlug/gateway/target_limits.h"
#include "camphorlug/gateway/target_notice.h"
#include "camphorlug/gateway/target_pauses.h"
#include "camphorlug/gateway/target_registry.h"

#include <cstdint>
#include <string>

namespace camphorlug::gateway {

/// Applies what targets say about themselves in their responses.
///
/// A target that shuts down says so in its responses before its row in the store does, and some
/// targets never write such a row. With a store that is slow or unavailable, the responses may be
/// the only source for as long as the target still accepts connections.
class notice_handler {
public:
  notice_handler(target_registry& registry, target_pauses& pauses, target_limits& limits,
                 gateway_metrics& metrics)
      : registry_(registry), pauses_(pauses), limits_(limits), metrics_(metrics) {}

  /// Applies a notice of the start `started_at_ms` of a target.
  void apply(const std::string& target, std::int64_t started_at_ms, const target_notice& notice);
  /// The same for a notice in the response to a caller's request, which also tells that a limit
  /// is over by naming none.
  void apply_response(const std::string& target, std::int64_t started_at_ms,
                      const target_notice& notice);

private:
  target_registry& registry_;
  target_pauses& pauses_;
  target_limits& limits_;
  gateway_metrics& metrics_;
};

} // namespace camphorlug::gateway
