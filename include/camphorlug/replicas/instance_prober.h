#pragma once

#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/support/task.h"

namespace camphorlug::replicas {

/// Asks an instance for a sign of life. Each question is paid for.
class instance_prober {
public:
  instance_prober() = default;
  instance_prober(const instance_prober&) = delete;
  instance_prober& operator=(const instance_prober&) = delete;
  virtual ~instance_prober() = default;

  /// Whether the instance itself answers.
  virtual support::task<bool> answers(gateway::target_entry entry) = 0;
};

} // namespace camphorlug::replicas
