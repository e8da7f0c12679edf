#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace camphorlug::peers {

/// A node's report about itself. Only the node itself creates new versions; other
/// nodes relay them.
struct node_report {
  std::string id;
  /// `ip:port` on which the node serves callers.
  std::string address;
  /// `ip:port` on which the node serves peers and operators.
  std::string peer_address;
  std::string data_centre;
  /// Changes with each start of the process; a larger value is a later start.
  std::uint64_t incarnation = 0;
  /// Heartbeat counter: increases within an incarnation with each message.
  std::uint64_t sequence = 0;
  /// Increases within an incarnation when the content compared by
  /// `has_same_content_as` changes.
  std::uint64_t revision = 0;
  /// The node accepts no new callers.
  bool leaving = false;
  /// The node refuses work: it is cut off from store and peers, so that its documents may be
  /// outdated, or it has no documents yet.
  bool isolated = false;
  /// Version of each service's document in force on the node.
  std::map<std::string, std::uint64_t> documents;

  /// Whether the reports' contents are equal, ignoring sequence and revision.
  bool has_same_content_as(const node_report& other) const {
    return leaving == other.leaving && isolated == other.isolated && documents == other.documents &&
           address == other.address;
  }
};

} // namespace camphorlug::peers
