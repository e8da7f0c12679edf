#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/targets/instance_report.h"

#include <string>

namespace camphorlug::watching {

/// The newest that is known of one instance.
struct observation {
  targets::instance_report report;
  /// When the exchange that brought the report was begun.
  support::clock::time_point seen_at;
  /// Set while a definite sign of absence is newer than the report.
  bool absent = false;
  /// When the sign of absence was seen.
  support::clock::time_point absent_at;
  /// Node whose own exchange it was.
  std::string watcher;
};

} // namespace camphorlug::watching
