#pragma once

namespace camphorlug::gateway {

/// What a cold target may get in any one second: `over` times the rate that it tolerates, and
/// `slack` requests more.
struct cold_bound {
  double over = 1;
  double slack = 0;

  bool operator==(const cold_bound&) const = default;
};

} // namespace camphorlug::gateway
