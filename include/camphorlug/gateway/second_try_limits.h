#pragma once

namespace camphorlug::gateway {

/// Limits of second tries, set by operators.
struct second_try_limits {
  /// Second tries per request of a service; 0 disables them.
  double share_of_requests = 0;
  /// A first part is slow if it takes longer than this quantile of its class.
  double quantile = 0.95;
  /// No second try unless more than this share of the pool's slots is free.
  double required_free_share = 0.2;
};

} // namespace camphorlug::gateway
