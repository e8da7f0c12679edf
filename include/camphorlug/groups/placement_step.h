#pragma once

#include "camphorlug/targets/instance_order.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Assigns an instance to a rank of a group.
struct rank_assignment {
  std::size_t rank = 0;
  targets::group_member member;
};

/// Kinds of change to a pool's groups.
enum class step_kind {
  /// Forms a new group from `assignments`.
  form,
  /// Replaces the members of `group` at the ranks in `assignments`.
  replace,
  /// Makes `assignments` standbys, which load the shards of the members that they
  /// will replace.
  prepare,
  /// Replaces members by their standbys that have loaded the shard.
  promote,
  /// Stops sending new requests to `group` and lets running ones finish.
  drain,
  /// Loads the document's model version into the members of `group`.
  reload,
  /// Dissolves `group` and frees its instances.
  dissolve,
};

const char* to_string(step_kind kind);

/// A change to one group, written in one transaction.
struct placement_step {
  step_kind kind = step_kind::form;
  std::string group;
  std::string fabric_domain;
  std::string data_centre;
  std::vector<rank_assignment> assignments;
  /// The decision and its cause, for operators.
  std::string reason;
};

} // namespace camphorlug::groups
