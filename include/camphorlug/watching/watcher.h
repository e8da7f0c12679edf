#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/targets/target_client.h"
#include "camphorlug/watching/instance_directory.h"
#include "camphorlug/watching/observation_cache.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <set>
#include <string>

namespace camphorlug::watching {

/// Returns whether this node watches an instance itself.
using watch_filter = std::function<bool(const table::listed_instance&)>;

/// Runs one coroutine for each watched instance, which polls the instance's report
/// twice a second and records the result in the observation cache.
class watcher {
public:
  watcher(asio::any_io_executor executor, support::clock& time, support::random_source& random,
          targets::target_client& targets, instance_directory& directory,
          observation_cache& observations, std::string node, watch_filter filter);

  /// Starts a coroutine for each instance that should be watched and is not yet.
  /// Coroutines of instances that should no longer be watched end by themselves.
  void refresh();

  std::size_t watched() const { return watched_.size(); }

private:
  support::task<> watch(std::string instance);
  support::task<> poll(table::listed_instance instance);
  bool should_watch(const table::listed_instance& instance) const;

  asio::any_io_executor executor_;
  support::clock& time_;
  support::random_source& random_;
  targets::target_client& targets_;
  instance_directory& directory_;
  observation_cache& observations_;
  std::string node_;
  watch_filter filter_;
  std::set<std::string> watched_;
};

} // namespace camphorlug::watching
