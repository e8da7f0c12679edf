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

/// What an operator may do.
enum class operator_role { read, edit };

/// A person who may use the operator port.
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
  /// Peer addresses to ask before the instance list is read.
  std::vector<std::string> seeds;
  /// Data centres whose targets go before all others; empty for all alike.
  std::set<std::string> near_data_centres;
  /// Signs the exchanges between nodes.
  std::string peer_key;
  /// Signs positions in streams.
  std::string stream_key;
  /// How long callers may use an answer of `/v1/entries`.
  std::chrono::milliseconds entries_valid_for{5000};
  /// Nodes that watch each instance.
  std::size_t watchers_per_instance = 6;
  /// Nodes of a data centre that read the table service.
  std::size_t readers_per_data_centre = 2;
  std::vector<operator_account> operators;

  /// Reads and checks a settings file; nothing if there is any fault.
  static std::optional<node_settings> parse(std::string_view text, std::string file,
                                            support::config_errors& errors);
};

} // namespace camphorlug::node
