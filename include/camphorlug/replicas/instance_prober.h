#pragma once

#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/replicas/instance_report.h"
#include "camphorlug/replicas/process_state.h"
#include "camphorlug/support/task.h"

namespace camphorlug::replicas {

/// Asks instances directly. Each question is charged for.
class instance_prober {
public:
  instance_prober() = default;
  instance_prober(const instance_prober&) = delete;
  instance_prober& operator=(const instance_prober&) = delete;
  virtual ~instance_prober() = default;

  /// Returns whether the probe is answered by the instance that `entry` names.
  virtual support::task<bool> probe(gateway::target_entry entry) = 0;

  /// Returns whether the process that `entry` names by its id and start answers, in whatever way.
  /// One that says that its group is broken has cut off its work and counts as ended.
  /// Unlike `probe` it fits instances that have no report.
  virtual support::task<process_state> ask_process(gateway::target_entry entry) = 0;

  /// Returns what the instance that `entry` names says about itself.
  virtual support::task<report_result> report(gateway::target_entry entry) = 0;
};

} // namespace camphorlug::replicas
