#pragma once

#include "camphorlug/support/config_error.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::node {

/// Permissions of an operator. An operator with `edit` may also read.
enum class operator_role { read, edit };

/// Account for the operator API.
struct operator_account {
  std::string name;
  /// SHA-256 of the key in lower-case hexadecimal.
  std::string key_hash;
  operator_role role = operator_role::read;
};

/// The settings file of one node.
struct node_settings {
  std::string id;
  std::string data_centre;
  /// `ip:port` for callers.
  std::string address;
  /// `ip:port` for peers, operators and metrics.
  std::string operator_address;
  /// `ip:port` of the platform's services.
  std::string platform_address;
  /// Peer addresses to contact before the instance list is read. They stay candidates for gossip
  /// afterwards.
  std::vector<std::string> seeds;
  /// Data centres whose targets go first among equally healthy targets; if empty, all are
  /// treated alike.
  std::set<std::string> near_data_centres;
  /// Key that signs the gossip exchanges between nodes.
  std::string peer_key;
  /// Key that signs the event ids with which clients resume a stream (`Last-Event-ID`).
  std::string stream_key;
  /// How long callers may cache a response of `/v1/entries`.
  std::chrono::milliseconds entries_valid_for{5000};
  /// Number of nodes that watch each instance.
  std::size_t watchers_per_instance = 6;
  /// Number of nodes of a data centre that poll the store.
  std::size_t readers_per_data_centre = 2;
  std::vector<operator_account> operators;

  /// Parses and validates a settings file. Returns nullopt and adds to `errors` if it is invalid.
  static std::optional<node_settings> parse(std::string_view text, std::string file,
                                            support::config_errors& errors);
};

} // namespace camphorlug::node
