#pragma once

#include "camphorlug/gateway/group_membership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A target's self-description in the platform's registry.
struct target_entry {
  std::string id;
  std::string service;
  /// `ip:port`.
  std::string address;
  std::string data_centre;
  /// Number of requests that the target processes concurrently.
  std::size_t slots = 1;
  /// The target is shutting down and accepts no new requests.
  bool draining = false;
  /// Start time in Unix milliseconds. A different value under the same id means
  /// that the target restarted.
  std::int64_t started_at_ms = 0;
  /// Remaining warm-up time when the entry was written; until it has passed, the target is slower.
  std::chrono::milliseconds warm_up_remaining{0};
  /// Instances in the same domain share a fast interconnect.
  std::string fabric_domain;
  /// Models whose weights are stored on the target's host.
  std::vector<std::string> staged_models;
  /// The model loaded in memory; empty if there is none.
  std::string model;
  std::optional<group_membership> membership;
  /// Increases with each write of the entry since the target's start; 0 if not reported.
  std::uint64_t sequence = 0;

  bool operator==(const target_entry&) const = default;
};

} // namespace camphorlug::gateway
