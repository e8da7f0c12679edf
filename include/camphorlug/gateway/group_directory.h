#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/serving_group.h"
#include "camphorlug/gateway/target_registry.h"

#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Derives the groups that can receive requests from their members' registry
/// entries. A group qualifies when its head is open, every rank is present
/// exactly once and ready under the same group name and epoch, and no member is draining or
/// missing. A member whose entry has lapsed is not missing while the registry holds it.
class group_directory {
public:
  group_directory(const target_registry& registry, const active_config& config)
      : registry_(registry), config_(config) {}

  /// Returns the groups of `service` that serve `model`.
  const std::vector<serving_group>& serving(const std::string& service, const std::string& model);

  /// Increases whenever an entry or the configuration has changed.
  std::uint64_t revision();

private:
  void refresh();

  const target_registry& registry_;
  const active_config& config_;
  std::uint64_t seen_revision_ = 0;
  std::uint64_t seen_config_ = 0;
  std::uint64_t revision_ = 0;
  std::map<std::pair<std::string, std::string>, std::vector<serving_group>> by_model_;
};

} // namespace camphorlug::gateway
