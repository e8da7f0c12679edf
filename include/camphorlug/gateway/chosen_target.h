#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::gateway {

/// Where one sending of a request goes.
struct chosen_target {
  std::string id;
  /// `ip:port`.
  std::string address;
  /// Requests that it works on at once.
  std::size_t slots = 1;
  /// Epoch of the group that it leads; 0 for a plain target.
  std::uint64_t epoch = 0;
};

} // namespace camphorlug::gateway
