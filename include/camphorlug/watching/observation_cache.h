#pragma once

#include "camphorlug/watching/observation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorlug::watching {

/// The newest observation of each instance, made by this node or by a peer.
class observation_cache {
public:
  /// Records a report from a request that was started at `seen_at`. Ignored if it is
  /// not newer than the known one.
  void record_report(targets::instance_report report, support::clock::time_point seen_at,
                     std::string watcher);

  /// Records that the instance definitely does not serve: its connection was refused
  /// or another instance answered at its address. Ignored if no report is known or
  /// the known one is not older.
  void record_absence(const std::string& instance, support::clock::time_point seen_at,
                      std::string watcher);

  /// Returns the newest observation of `instance`, or null.
  const observation* find(std::string_view instance) const;

  /// Removes an instance that is no longer listed.
  void forget(const std::string& instance) { observations_.erase(instance); }

  const std::unordered_map<std::string, observation>& all() const { return observations_; }

  /// Increases when an instance's absence changes, or a report field other than model,
  /// running and waiting.
  std::uint64_t generation() const { return generation_; }

private:
  std::unordered_map<std::string, observation> observations_;
  std::uint64_t generation_ = 0;
};

} // namespace camphorlug::watching
