#pragma once

#include "camphorlug/support/clock.h"

namespace camphorlug::gateway {

/// Place of a request among those that wait: the lowest priority number first,
/// within it the one whose objective ends first.
struct waiting_rank {
  int priority = 5;
  support::clock::time_point useful_until;

  auto operator<=>(const waiting_rank&) const = default;
};

} // namespace camphorlug::gateway
