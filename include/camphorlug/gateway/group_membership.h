#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorlug::gateway {

/// An instance's progress within its group.
enum class membership_state {
  /// Loading weights or waiting for the other members.
  joining,
  /// Able to serve; a head in this state does not accept requests yet.
  ready,
  /// The head accepts requests.
  open,
  /// The head finishes its running requests and accepts no new ones.
  closing,
  /// Can no longer serve in this epoch.
  broken,
};

/// An instance's group membership as the instance itself reports it.
struct group_membership {
  std::string group;
  /// Increases with each change of the group's members.
  std::uint64_t epoch = 0;
  /// Rank 0 is the head, which receives the group's requests.
  std::size_t rank = 0;
  membership_state state = membership_state::joining;

  bool operator==(const group_membership&) const = default;
};

const char* to_string(membership_state state);

} // namespace camphorlug::gateway
