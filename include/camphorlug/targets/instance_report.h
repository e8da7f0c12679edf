#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::targets {

/// The state that an instance reports of itself. An instance of a plain service has no group.
struct instance_report {
  std::string instance;
  /// Differs for each start of the instance's process.
  std::string incarnation;
  std::string group;
  /// The number of the last order that it executed.
  std::uint64_t number = 0;
  std::size_t rank = 0;
  std::string model;
  std::string version;
  /// Whether its shard is loaded and, if it is a member, it has joined its group.
  bool ready = false;
  bool leaving = false;
  /// Running and queued requests, as of the engine's last count.
  std::size_t running = 0;
  std::size_t waiting = 0;
};

} // namespace camphorlug::targets
