#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/caller_protocol.h"
#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/gateway_metrics.h"
#include "camphorlug/gateway/retry_allowance.h"
#include "camphorlug/gateway/stall_watch.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/gateway/waiting_line.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

namespace camphorlug::gateway {

/// All that the handling of requests works with; everything must outlive it.
struct gateway_environment {
  support::clock& time;
  support::random_source& random;
  net::http_client& client;
  const caller_protocol& protocol;
  const active_config& config;
  const target_registry& registry;
  waiting_line& line;
  suspicion_list& suspicions;
  retry_allowance& retries;
  stall_watch& stalls;
  demand_meter& demand;
  gateway_metrics& metrics;
};

} // namespace camphorlug::gateway
