#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::gateway {

/// Target selected for one attempt to send a request.
struct chosen_target {
  std::string id;
  /// `ip:port`.
  std::string address;
  /// Number of requests that the target processes concurrently.
  std::size_t slots = 1;
  /// Epoch of the group that the target leads; 0 for a target outside groups.
  std::uint64_t epoch = 0;
  /// See `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;
};

} // namespace camphorlug::gateway
