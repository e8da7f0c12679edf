#pragma once

#include "camphorlug/groups/group_view.h"
#include "camphorlug/support/random_source.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorlug::routing {

/// One target that may take the request, as this node sees it.
struct candidate {
  const groups::routable_target* target = nullptr;
  /// Hash of the target's id.
  std::uint64_t hash = 0;
  /// This node's requests in progress there plus what the engine reports of
  /// other nodes' work, discounted by the report's age.
  double load = 0;
  /// Requests that this node sent there lately; older ones count less.
  double recent = 0;
};

/// Chooses one of several targets for a request.
class target_picker {
public:
  target_picker() = default;
  target_picker(const target_picker&) = delete;
  target_picker& operator=(const target_picker&) = delete;
  virtual ~target_picker() = default;

  /// Index of the choice among `candidates`, which are not empty. Requests with
  /// equal `affinity` share a prompt prefix.
  virtual std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                           support::random_source& random) const = 0;
};

} // namespace camphorlug::routing
