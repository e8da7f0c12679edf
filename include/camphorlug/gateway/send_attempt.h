#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// What one sending of a request adds to it.
struct send_attempt {
  /// The only instance that may run it.
  std::string target_id;
  std::string address;
  /// Time after which nobody waits for the answer.
  std::chrono::milliseconds time_left{0};
  /// Empty when requests need no key.
  std::string organisation;
  /// The last event that the caller has got.
  std::optional<std::uint64_t> resume_after;
  /// May travel on a connection that was used before.
  bool reuse_connection = false;
};

} // namespace camphorlug::gateway
