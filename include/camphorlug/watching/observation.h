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
  /// Set while the last refused connection or foreign answer is newer than the
  /// report.
  bool absent = false;
  /// When the request that showed the absence was started.
  support::clock::time_point absent_at;
  /// Id of the node that polled the instance.
  std::string watcher;
};

} // namespace camphorlug::watching
