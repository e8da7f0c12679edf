#pragma once

#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/support/clock.h"

#include <memory>

namespace camphorlug::gateway {

/// Holds the newest configuration known to this process. The version never decreases.
class active_config {
public:
  explicit active_config(const support::clock& time) : time_(time) {}

  /// Activates `candidate` if its version is newer than the current one. Returns
  /// whether it was activated.
  bool update_if_newer(std::shared_ptr<const routing_config> candidate);

  /// Null until a configuration has been activated.
  const std::shared_ptr<const routing_config>& current() const { return current_; }

  /// When the current configuration was activated. Meaningless while `current` is
  /// null.
  support::clock::time_point taken_at() const { return taken_at_; }

private:
  const support::clock& time_;
  support::clock::time_point taken_at_;
  std::shared_ptr<const routing_config> current_;
};

} // namespace camphorlug::gateway
