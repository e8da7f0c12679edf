#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::targets {

/// One instance of a group; its place in the list is its rank.
struct group_member {
  std::string instance;
  /// `ip:port`.
  std::string address;

  bool operator==(const group_member&) const = default;
};

/// What an instance is told to do.
enum class order_action {
  /// Load the shard of `rank` and serve with `members`.
  join,
  /// Load the shard of `rank` beside a serving group, to join it later.
  prepare,
  /// Leave the group and wait.
  release,
};

/// An order to one instance; it is idempotent.
struct instance_order {
  order_action action = order_action::join;
  std::string group;
  /// Fencing number: an engine that checks refuses one below the last that it obeyed.
  std::uint64_t number = 0;
  std::size_t rank = 0;
  std::vector<group_member> members;
  std::string model;
  std::string version;
};

/// How an instance took an order.
enum class order_result { accepted, refused_stale_number, refused };

} // namespace camphorlug::targets
