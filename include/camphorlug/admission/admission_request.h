#pragma once

#include "camphorlug/support/clock.h"

#include <cstdint>
#include <string>

namespace camphorlug::admission {

/// A request that asks to be sent.
struct admission_request {
  std::string class_name;
  std::string organisation;
  /// Expected work, in tokens.
  double cost = 1;
  /// When its caller stops waiting.
  support::clock::time_point deadline;
  /// Tells a repetition of a refused request from a new one.
  std::uint64_t fingerprint = 0;
};

} // namespace camphorlug::admission
