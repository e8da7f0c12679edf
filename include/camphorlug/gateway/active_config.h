#pragma once

#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/support/clock.h"

#include <memory>

namespace camphorlug::gateway {

/// The newest configuration that this process knows. It only goes forward.
class active_config {
public:
  explicit active_config(const support::clock& time) : time_(time) {}

  /// Takes `candidate` if it is newer; returns whether it was.
  bool update_if_newer(std::shared_ptr<const routing_config> candidate);

  /// Null until the first one is known.
  const std::shared_ptr<const routing_config>& current() const { return current_; }

  /// When the current one was taken; only after the first one.
  support::clock::time_point taken_at() const { return taken_at_; }

private:
  const support::clock& time_;
  support::clock::time_point taken_at_;
  std::shared_ptr<const routing_config> current_;
};

} // namespace camphorlug::gateway
