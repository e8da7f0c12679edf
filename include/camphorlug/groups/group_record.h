#pragma once

#include "camphorlug/targets/instance_order.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Where a replica group is in its life.
enum class group_state {
  /// Members load their shards or join.
  loading,
  /// All members have been seen ready; requests may be sent.
  serving,
  /// Finishes what runs and gets nothing new.
  draining,
  /// Ended; its instances are free.
  dissolved,
};

const char* to_string(group_state state);

/// An instance that loads a member's shard while the group still serves.
struct group_standby {
  std::size_t rank = 0;
  targets::group_member instance;
};

/// One replica group; the value of its row.
struct group_record {
  std::string id;
  std::string service;
  std::string pool;
  group_state state = group_state::loading;
  std::string model;
  std::string version;
  std::string fabric_domain;
  std::string data_centre;
  /// By rank.
  std::vector<targets::group_member> members;
  std::vector<group_standby> standbys;
  /// Number of the orders that made the present membership. It grows with each
  /// change of members and over all holders of the pool's lease.
  std::uint64_t number = 0;
  /// What the planner last did and why, for operators.
  std::string reason;

  std::string to_json() const;

  /// Throws std::runtime_error when `json` is not such a value.
  static group_record from_json(const std::string& json);
};

} // namespace camphorlug::groups
