#pragma once

#include "camphorlug/groups/group_view.h"
#include "camphorlug/support/random_source.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorlug::routing {

/// A target that can take the request, as seen by this node.
struct candidate {
  const groups::routable_target* target = nullptr;
  /// Hash of the target's id.
  std::uint64_t hash = 0;
  /// This node's requests in progress at the target, plus the load from other
  /// nodes that its engine reported, discounted by the age of the report.
  double load = 0;
  /// Requests that this node sent there recently, with exponential decay.
  double recent = 0;
};

/// Strategy that picks one of several targets for a request.
class target_picker {
public:
  target_picker() = default;
  target_picker(const target_picker&) = delete;
  target_picker& operator=(const target_picker&) = delete;
  virtual ~target_picker() = default;

  /// Returns the index of the picked element of `candidates`, which must not be
  /// empty. Requests with equal `affinity` share a prompt prefix.
  virtual std::size_t pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                           support::random_source& random) const = 0;
};

} // namespace camphorlug::routing
