#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A group that can receive requests: the latest entry of every member names it.
struct serving_group {
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  /// Member ids in rank order; the first is the head.
  std::vector<std::string> members;
};

} // namespace camphorlug::gateway
