#pragma once

#include "replay/replay_event.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::replay {

/// The pool that a trace is about: `domains` of `per_domain` instances.
struct pool_shape {
  std::size_t domains = 3;
  std::size_t per_domain = 20;

  std::size_t instances() const { return domains * per_domain; }
};

std::string domain_name(std::size_t index);
std::string instance_name(const pool_shape& shape, std::size_t index);

/// What befalls a pool at random.
struct trace_rates {
  std::chrono::hours length{24};
  double failures_per_day = 0;
  double replacements_per_day = 0;
  double freezes_per_day = 0;
};

/// Failures, planned replacements and freezes at random times; a lost instance
/// is followed by a new one in its domain.
std::vector<replay_event> make_random_faults(const pool_shape& shape, const trace_rates& rates,
                                             std::uint64_t seed);

/// One domain goes dark and comes back.
std::vector<replay_event> make_domain_outage(const pool_shape& shape);

/// A switch fails: one member in each of several groups of a domain goes silent.
std::vector<replay_event> make_switch_failure(const pool_shape& shape);

/// Every instance is replaced with notice, one after the other.
std::vector<replay_event> make_rolling_replacement(const pool_shape& shape);

/// The document asks for another version.
std::vector<replay_event> make_version_rollout();

} // namespace camphorlug::replay
