#pragma once

#include <chrono>
#include <cstddef>
#include <limits>

namespace camphorlug::net {

/// What the sender of a request accepts of its response. A server in trouble may send bytes without
/// end in any part of a response, quickly or slowly.
struct response_limits {
  static constexpr std::size_t unlimited_bytes = std::numeric_limits<std::size_t>::max();
  static constexpr std::chrono::nanoseconds unlimited_duration = std::chrono::nanoseconds::max();
  static constexpr std::size_t max_bulk_body_bytes = 32 * 1024 * 1024;

  /// Status lines, headers and trailers, including those of interim responses (1xx).
  std::size_t head_bytes = 64 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  /// From the first line of the response to its last byte.
  std::chrono::nanoseconds duration = std::chrono::seconds(5);

  /// Limits of a response that grows with the fleet or with its configuration.
  static response_limits bulk() {
    response_limits limits;
    limits.body_bytes = max_bulk_body_bytes;
    limits.duration = std::chrono::seconds(10);
    return limits;
  }

  /// Limits of a generation that its reader holds; its pauses are bounded, not its duration.
  static response_limits generation() {
    response_limits limits = bulk();
    limits.duration = unlimited_duration;
    return limits;
  }

  /// Limits of a response that is passed on while it arrives. Its reader bounds what it holds of
  /// the body, and the deadline of the caller's request bounds the duration.
  static response_limits passed_on() {
    response_limits limits;
    limits.body_bytes = unlimited_bytes;
    limits.duration = unlimited_duration;
    return limits;
  }
};

} // namespace camphorlug::net
