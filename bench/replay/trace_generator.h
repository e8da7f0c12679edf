#pragma once

#include "replay/replay_event.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::replay {

/// Size of the pool that a trace applies to.
struct pool_shape {
  std::size_t domains = 3;
  std::size_t per_domain = 20;

  std::size_t instances() const { return domains * per_domain; }
};

std::string domain_name(std::size_t index);
std::string instance_name(const pool_shape& shape, std::size_t index);

/// Length of a random trace and the daily rates of its events.
struct trace_rates {
  std::chrono::hours length{24};
  double failures_per_day = 0;
  double replacements_per_day = 0;
  double freezes_per_day = 0;
};

/// Generates failures, planned replacements and freezes at random times. Every removed
/// instance is followed by a new one in its domain.
std::vector<replay_event> make_random_faults(const pool_shape& shape, const trace_rates& rates,
                                             std::uint64_t seed);

/// Generates an outage of one domain and its recovery.
std::vector<replay_event> make_domain_outage(const pool_shape& shape);

/// Generates a switch failure, which silences one member in each of several groups of a domain.
std::vector<replay_event> make_switch_failure(const pool_shape& shape);

/// Generates planned replacements of all instances, one after the other.
std::vector<replay_event> make_rolling_replacement(const pool_shape& shape);

/// Generates a change of the model version in the document.
std::vector<replay_event> make_version_rollout();

} // namespace camphorlug::replay
