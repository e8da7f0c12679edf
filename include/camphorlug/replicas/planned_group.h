#pragma once

#include "camphorlug/support/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// How far a planned group has come.
enum class group_phase {
  /// Members join and load.
  forming,
  /// All members are ready; the head was told to open.
  opening,
  serving,
  /// The head finishes what it has, since a member is about to end.
  closing,
  /// Members are told to leave.
  dissolving,
};

const char* to_string(group_phase phase);

/// A member as it was when it was chosen.
struct planned_member {
  std::string id;
  /// Another start of the same instance knows nothing of the group.
  std::int64_t started_at_ms = 0;
  /// It said that it is ready under this group and epoch.
  bool was_ready = false;
};

/// A group that the planner means to exist, or to end.
struct planned_group {
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  std::string fabric_domain;
  /// The first is the head.
  std::vector<planned_member> members;
  /// It never opens: its member only takes the model into its memory.
  bool warmup_only = false;
  /// A member's entry went while the group served: it may be leaving without
  /// having said so, and works on for a while.
  bool member_entry_lost = false;
  group_phase phase = group_phase::forming;
  support::clock::time_point phase_since;
};

} // namespace camphorlug::replicas
