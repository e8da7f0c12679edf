#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::targets {

/// One instance of a group. Its index in the member list is its rank.
struct group_member {
  std::string instance;
  /// `ip:port`.
  std::string address;

  bool operator==(const group_member&) const = default;
};

/// The state change that an order requests of an instance.
enum class order_action {
  /// Load the shard of `rank` and serve with `members`.
  join,
  /// Load the shard of `rank` while the group serves without this instance, to join it later.
  prepare,
  /// Leave the group and stay idle.
  release,
};

/// An idempotent order to one instance.
struct instance_order {
  order_action action = order_action::join;
  std::string group;
  /// Fencing token: an engine that checks it refuses an order whose number is below
  /// that of the last order it executed.
  std::uint64_t number = 0;
  std::size_t rank = 0;
  std::vector<group_member> members;
  std::string model;
  std::string version;
};

/// An instance's response to an order.
enum class order_result { accepted, refused_stale_number, refused };

} // namespace camphorlug::targets
