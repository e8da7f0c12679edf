#pragma once

#include "camphorlug/targets/instance_order.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Puts an instance at a rank.
struct rank_assignment {
  std::size_t rank = 0;
  targets::group_member instance;
};

/// The kinds of change to a pool's groups.
enum class step_kind {
  /// Makes a new group of `assignments`.
  form,
  /// Puts `assignments` in the places of members of `group`.
  replace,
  /// Lets `assignments` load beside the members that they will replace.
  prepare,
  /// Puts prepared standbys in the places of their members.
  promote,
  /// Lets `group` finish what runs.
  drain,
  /// Loads the document's version into the members of `group`.
  reload,
  /// Ends `group` and frees its members.
  dissolve,
};

const char* to_string(step_kind kind);

/// One change, which is written in one transaction.
struct placement_step {
  step_kind kind = step_kind::form;
  std::string group;
  std::string fabric_domain;
  std::string data_centre;
  std::vector<rank_assignment> assignments;
  /// For operators: what was decided, and from what.
  std::string reason;
};

} // namespace camphorlug::groups
