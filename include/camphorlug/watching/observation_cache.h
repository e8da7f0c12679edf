#pragma once

#include "camphorlug/watching/observation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorlug::watching {

/// The newest sighting of each instance, by this node or by a peer.
class observation_cache {
public:
  /// Takes a report from an exchange that was begun at `seen_at`.
  void record_report(targets::instance_report report, support::clock::time_point seen_at,
                     std::string watcher);

  /// Takes a definite sign that the instance does not serve: its connection was refused.
  void record_absence(const std::string& instance, support::clock::time_point seen_at,
                      std::string watcher);

  /// The newest sighting, or null.
  const observation* find(std::string_view instance) const;

  /// Forgets an instance that is listed no more.
  void forget(const std::string& instance) { observations_.erase(instance); }

  const std::unordered_map<std::string, observation>& all() const { return observations_; }

  /// Grows whenever a sighting changed in more than its time.
  std::uint64_t generation() const { return generation_; }

private:
  std::unordered_map<std::string, observation> observations_;
  std::uint64_t generation_ = 0;
};

} // namespace camphorlug::watching
