#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::targets {

/// What an instance says of itself. A plain service's instance has no group.
struct instance_report {
  std::string instance;
  /// New for each start of its process.
  std::string incarnation;
  std::string group;
  /// The number of the last order that it obeyed.
  std::uint64_t number = 0;
  std::size_t rank = 0;
  std::string model;
  std::string version;
  /// Its shard is loaded and, for a member, it has joined its group.
  bool ready = false;
  bool leaving = false;
  /// Requests that run and that wait, as of the engine's last count.
  std::size_t running = 0;
  std::size_t waiting = 0;
};

} // namespace camphorlug::targets
