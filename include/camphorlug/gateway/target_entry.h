#pragma once

#include "camphorlug/gateway/group_membership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// What a target says of itself in the platform's registry.
struct target_entry {
  std::string id;
  std::string service;
  /// `ip:port`.
  std::string address;
  std::string data_centre;
  /// Requests that it works on at once.
  std::size_t slots = 1;
  /// It will end and wants no new requests.
  bool draining = false;
  /// Its start in Unix milliseconds; another one is another life of the same id.
  std::int64_t started_at_ms = 0;
  /// How much longer it is slow after its start.
  std::chrono::milliseconds warm_up_remaining{0};
  /// Instances of one domain share a fast interconnect.
  std::string fabric_domain;
  /// Models whose weights lie on its host.
  std::vector<std::string> staged_models;
  /// The model that it holds in memory; empty when there is none.
  std::string model;
  std::optional<group_membership> membership;

  bool operator==(const target_entry&) const = default;
};

} // namespace camphorlug::gateway
