#pragma once

#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/support/task.h"

namespace camphorlug::replicas {

/// Checks whether an instance is alive. Each probe is charged for.
class instance_prober {
public:
  instance_prober() = default;
  instance_prober(const instance_prober&) = delete;
  instance_prober& operator=(const instance_prober&) = delete;
  virtual ~instance_prober() = default;

  /// Returns whether the probe is answered by the instance that `entry` names.
  virtual support::task<bool> probe(gateway::target_entry entry) = 0;
};

} // namespace camphorlug::replicas
