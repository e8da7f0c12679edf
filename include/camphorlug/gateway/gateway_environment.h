#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/caller_protocol.h"
#include "camphorlug/gateway/crash_cause_list.h"
#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/first_part_times.h"
#include "camphorlug/gateway/gateway_metrics.h"
#include "camphorlug/gateway/notice_handler.h"
#include "camphorlug/gateway/retry_limiter.h"
#include "camphorlug/gateway/second_try_policy.h"
#include "camphorlug/gateway/slot_queue.h"
#include "camphorlug/gateway/stall_detector.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/gateway/target_liveness.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/gateway/target_sender.h"
#include "camphorlug/gateway/trial_permits.h"
#include "camphorlug/gateway/usual_time_limits.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/memory_budget.h"
#include "camphorlug/support/random_source.h"

namespace camphorlug::gateway {

/// Components that request handling depends on. They must outlive every request.
struct gateway_environment {
  support::clock& time;
  support::random_source& random;
  target_sender& sender;
  const caller_protocol& protocol;
  const active_config& config;
  const target_registry& registry;
  slot_queue& queue;
  suspicion_list& suspicions;
  notice_handler& notices;
  crash_cause_list& crash_causes;
  trial_permits& trials;
  retry_limiter& retries;
  stall_detector& stalls;
  demand_meter& demand;
  gateway_metrics& metrics;
  usual_time_limits& usual_limits;
  first_part_times& first_parts;
  second_try_policy& second_tries;
  /// For the bodies and responses that the node holds.
  support::memory_budget& memory;
  target_liveness& liveness;
};

} // namespace camphorlug::gateway
