#pragma once

#include "camphorlug/documents/model_spec.h"
#include "camphorlug/groups/group_record.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// How an instance looks to the planner.
enum class instance_condition {
  /// Seen within the last moments.
  present,
  /// Not seen for a moment; it may come back with its shard.
  silent,
  /// Refused a connection, was delisted, or was silent for too long.
  lost,
  /// Present, and will be taken away soon.
  leaving,
};

/// A shard that an instance holds in memory.
struct loaded_shard {
  std::string version;
  std::size_t rank = 0;
};

/// One instance of the pool.
struct pool_instance {
  std::string id;
  std::string address;
  std::string fabric_domain;
  std::string data_centre;
  instance_condition condition = instance_condition::present;
  /// The group that its row assigns it to; empty when it is free.
  std::string group;
  std::optional<loaded_shard> shard;
};

/// One group that is not dissolved.
struct pool_group {
  group_record record;
  /// A draining group that has nothing left to finish.
  bool drained = false;
  /// Ranks whose standby has loaded its shard.
  std::vector<std::size_t> prepared_ranks;
};

/// All that a placement decision depends on.
struct pool_state {
  std::string service;
  documents::model_spec spec;
  std::vector<pool_instance> instances;
  std::vector<pool_group> groups;
};

} // namespace camphorlug::groups
