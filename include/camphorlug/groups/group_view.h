#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// A whole group, or an instance of a plain service, that requests may be sent to.
struct routable_target {
  /// Group id, or instance id of a plain service.
  std::string id;
  /// Number of the group's membership; 0 for a plain service.
  std::uint64_t number = 0;
  /// `ip:port` of rank 0.
  std::string address;
  std::string data_centre;
  /// Requests running and waiting at the engine when it was last seen.
  std::size_t reported_load = 0;
  support::clock::time_point reported_at;
};

/// The targets of one service at one moment.
using target_set = std::shared_ptr<const std::vector<routable_target>>;

/// Which targets requests may be sent to now.
class group_view {
public:
  group_view() = default;
  group_view(const group_view&) = delete;
  group_view& operator=(const group_view&) = delete;
  virtual ~group_view() = default;

  virtual target_set targets(const std::string& service) = 0;
};

} // namespace camphorlug::groups
