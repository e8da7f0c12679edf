#pragma once

#include "camphorlug/support/clock.h"

#include <cstdint>
#include <string>

namespace camphorlug::admission {

/// Describes a request that asks for admission.
struct admission_request {
  std::string class_name;
  std::string organisation;
  /// Estimated work, in tokens.
  double cost = 1;
  /// Time at which the caller stops waiting.
  support::clock::time_point deadline;
  /// Identifies the request, so that a retry of a refused one is recognised.
  std::uint64_t fingerprint = 0;
};

} // namespace camphorlug::admission
