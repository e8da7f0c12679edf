#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace camphorlug::gateway {

/// Version of the messages between nodes from which on a node asks schedulers for slots.
inline constexpr int scheduling_protocol = 1;

/// What a node tells all other nodes about itself. It changes rarely; what changes with each
/// request is in `fleet_summary`.
struct node_status {
  std::string id;
  std::string data_centre;
  /// `ip:port` on which the node serves callers.
  std::string public_address;
  /// `ip:port` on which the node serves peers.
  std::string peer_address;
  /// Distinguishes this process from earlier ones of the same node; later processes
  /// have larger values.
  std::uint64_t incarnation = 0;
  /// Increases within an incarnation with each change of the other fields.
  std::uint64_t revision = 0;
  /// Processor share of the instance in cores. Nodes with more of it relay for the others.
  double cores = 0;
  /// The node accepts requests.
  bool ready = false;
  bool leaving = false;
  /// Whether the store answered the node's last calls; true for a node that made none.
  bool reaches_store = true;
  /// Whether an answer of the last seconds shows that the node reaches the store; false for nodes
  /// of an earlier version, which do not report it.
  bool shows_store = false;
  /// Whether the node's own connections to targets work.
  bool reaches_targets = true;

  /// Version of the messages between nodes that the node knows; 0 for nodes of an earlier version,
  /// which do not report it.
  int protocol = scheduling_protocol;

  /// Elements that a later build reports, see `support::read_unknown_elements`.
  std::string unknown_elements{};

  bool operator==(const node_status&) const = default;

  /// Whether this status replaces `other` of the same node.
  bool is_newer_than(const node_status& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : revision > other.revision;
  }
};

void to_json(nlohmann::json& value, const node_status& status);
/// Throws nlohmann::json::exception if `value` is not a valid status.
void from_json(const nlohmann::json& value, node_status& status);

} // namespace camphorlug::gateway
