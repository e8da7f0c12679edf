#pragma once

#include "camphorlug/targets/instance_order.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Lifecycle state of a replica group.
enum class group_state {
  /// Members are loading their shards or joining the group.
  loading,
  /// All members have reported ready; requests may be sent to the group.
  serving,
  /// Finishes running requests and receives no new ones.
  draining,
  /// Terminal state; the group's instances are free.
  dissolved,
};

const char* to_string(group_state state);

/// An instance that loads a member's shard while the group still serves, in
/// order to replace that member.
struct group_standby {
  std::size_t rank = 0;
  targets::group_member member;
};

/// A replica group, as stored in its table row.
struct group_record {
  std::string id;
  std::string service;
  std::string pool;
  group_state state = group_state::loading;
  std::string model;
  std::string version;
  std::string fabric_domain;
  std::string data_centre;
  /// Members, indexed by rank.
  std::vector<targets::group_member> members;
  std::vector<group_standby> standbys;
  /// Fencing number of the orders that established the current membership. It
  /// increases with each change of members, with each reload, and across holders
  /// of the pool's lease.
  std::uint64_t number = 0;
  /// The planner's last change to the group and its cause, for operators.
  std::string reason;

  std::string to_json() const;

  /// Throws std::runtime_error if `json` is not a valid group record.
  static group_record from_json(const std::string& json);
};

} // namespace camphorlug::groups
