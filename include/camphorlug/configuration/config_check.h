#pragma once

#include "camphorlug/configuration/config_finding.h"
#include "camphorlug/gateway/routing_config.h"

namespace camphorlug::configuration {

/// Returns entries of the configuration that can never match, and limits that contradict each
/// other: hidden routes, keys of two organisations, weights without effect, unknown services, time
/// limits below the objective, models without members. Performs no I/O.
config_findings check_config(const gateway::routing_config& config);

} // namespace camphorlug::configuration
