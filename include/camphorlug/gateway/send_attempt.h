#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// Parameters of one attempt to send a request to a target.
struct send_attempt {
  /// The only instance that may execute the request.
  std::string target_id;
  std::string address;
  /// Time after which the caller no longer waits for the response.
  std::chrono::milliseconds time_left{0};
  /// Empty when requests need no API key.
  std::string organisation;
  /// Id of the last stream event that the caller has received.
  std::optional<std::uint64_t> resume_after;
  /// Whether the request may be sent on a reused connection.
  bool reuse_connection = false;
};

} // namespace camphorlug::gateway
