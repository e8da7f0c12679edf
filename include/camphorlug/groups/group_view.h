#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// A complete group, or an instance of a plain service, that can receive requests.
/// A plain service has no model, and its instances serve independently.
struct routable_target {
  /// Group id, or instance id of a plain service.
  std::string id;
  /// Fencing number of the group's membership; 0 for a plain service.
  std::uint64_t number = 0;
  /// `ip:port` of the group's rank 0, or of the plain instance.
  std::string address;
  std::string data_centre;
  /// Running and waiting requests in the engine's last report; 0 for a plain service.
  std::size_t reported_load = 0;
  support::clock::time_point reported_at;
};

/// Immutable snapshot of one service's targets.
using target_set = std::shared_ptr<const std::vector<routable_target>>;

/// Provides the targets of each service that can receive requests now.
class group_view {
public:
  group_view() = default;
  group_view(const group_view&) = delete;
  group_view& operator=(const group_view&) = delete;
  virtual ~group_view() = default;

  virtual target_set targets(const std::string& service) = 0;
};

} // namespace camphorlug::groups
