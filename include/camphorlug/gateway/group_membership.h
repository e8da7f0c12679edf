#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::gateway {

/// How far an instance has come in its group.
enum class membership_state {
  /// Loads weights or waits for the other members.
  joining,
  ready,
  /// The head takes requests.
  open,
  /// The head finishes what it has.
  closing,
  /// Cannot serve any more under this epoch.
  broken,
};

/// The group that an instance says it belongs to.
struct group_membership {
  std::string group;
  /// Grows with each change of the group's members.
  std::uint64_t epoch = 0;
  /// 0 is the head, which takes the requests.
  std::size_t rank = 0;
  membership_state state = membership_state::joining;

  bool operator==(const group_membership&) const = default;
};

const char* to_string(membership_state state);

} // namespace camphorlug::gateway
