#pragma once

#include "camphorlug/gateway/routing_config.h"

#include <memory>

namespace camphorlug::gateway {

/// The newest configuration that this process knows. It only goes forward.
class config_in_force {
public:
  /// Takes `candidate` if it is newer; returns whether it was.
  bool take(std::shared_ptr<const routing_config> candidate);

  /// Null until the first one is known.
  const std::shared_ptr<const routing_config>& current() const { return current_; }

private:
  std::shared_ptr<const routing_config> current_;
};

} // namespace camphorlug::gateway
