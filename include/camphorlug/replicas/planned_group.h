#pragma once

#include "camphorlug/support/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// Lifecycle phase of a planned group.
enum class group_phase {
  /// Members join and load.
  forming,
  /// All members are ready; the head is ordered to open the group.
  opening,
  serving,
  /// The head finishes its current requests because the group is about to lose a member
  /// or its instances are needed for another model.
  closing,
  /// Members are told to leave.
  dissolving,
};

const char* to_string(group_phase phase);

/// A group member, as recorded when the planner selected it.
struct planned_member {
  std::string id;
  /// Start time of the instance. A restarted instance has a different start time and no
  /// knowledge of the group.
  std::int64_t started_at_ms = 0;
  /// Whether the instance has reported itself ready in this group and epoch.
  bool was_ready = false;
};

/// A group that the planner forms, operates or dissolves.
struct planned_group {
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  std::string fabric_domain;
  /// The first is the head.
  std::vector<planned_member> members;
  /// The group never opens. It exists only so that its single member loads the model into
  /// memory.
  bool warmup_only = false;
  /// The group was formed by a planner of an earlier term.
  bool adopted = false;
  /// A member's entry disappeared while the group was serving. The member may be leaving
  /// without having announced it, in which case it keeps working for a while.
  bool member_entry_lost = false;
  group_phase phase = group_phase::forming;
  support::clock::time_point phase_since;
};

} // namespace camphorlug::replicas
