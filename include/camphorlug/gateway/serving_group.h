#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A group that takes requests: all its members were last seen in it.
struct serving_group {
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  /// Ids of the members; the first is the head.
  std::vector<std::string> members;
};

} // namespace camphorlug::gateway
