#pragma once

#include "camphorlug/documents/model_spec.h"
#include "camphorlug/groups/group_record.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Condition of an instance as the planner sees it.
enum class instance_condition {
  /// Seen recently.
  present,
  /// Not seen for a short time; it may return with its shard still loaded.
  silent,
  /// Refused a connection, is no longer listed, or was silent for too long.
  lost,
  /// Present, but will be removed soon.
  leaving,
};

/// A shard that an instance holds in memory.
struct loaded_shard {
  std::string version;
  std::size_t rank = 0;
};

/// An instance of the pool.
struct pool_instance {
  std::string id;
  std::string address;
  std::string fabric_domain;
  std::string data_centre;
  instance_condition condition = instance_condition::present;
  /// The group that the instance's row assigns it to; empty if it is free.
  std::string group;
  std::optional<loaded_shard> shard;
};

/// A group that is not dissolved.
struct pool_group {
  group_record record;
  /// Whether the group gets no new requests and its running ones have finished or
  /// exceeded the drain time.
  bool drained = false;
  /// Ranks whose standby has loaded its shard.
  std::vector<std::size_t> prepared_ranks;
};

/// Input of a placement decision.
struct pool_state {
  std::string service;
  documents::model_spec spec;
  std::vector<pool_instance> instances;
  std::vector<pool_group> groups;
};

} // namespace camphorlug::groups
