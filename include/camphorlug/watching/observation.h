#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/targets/instance_report.h"

#include <string>

namespace camphorlug::watching {

/// The newest information about one instance.
struct observation {
  targets::instance_report report;
  /// When the request that returned the report was started.
  support::clock::time_point seen_at;
  /// Set while a refused connection, or an answer from another instance, is newer than
  /// the report.
  bool absent = false;
  /// When the request that showed the absence was started.
  support::clock::time_point absent_at;
  /// Id of the node that polled the instance or, for a relayed observation, of the peer that
  /// sent it.
  std::string watcher;
};

} // namespace camphorlug::watching
