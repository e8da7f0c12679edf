#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace camphorlug::peers {

/// What a node says of itself; only the node itself makes new ones.
struct node_report {
  std::string id;
  /// `ip:port` for callers.
  std::string address;
  /// `ip:port` for peers and operators.
  std::string peer_address;
  std::string data_centre;
  /// New for each start of the process; a larger one is a later start.
  std::uint64_t incarnation = 0;
  /// Grows within an incarnation with each message: a sign of life.
  std::uint64_t sequence = 0;
  /// Grows within an incarnation when anything below changes.
  std::uint64_t revision = 0;
  /// Takes no new callers.
  bool leaving = false;
  /// Cut off, so that it cannot know what is in force.
  bool isolated = false;
  /// Version in force of each service's document.
  std::map<std::string, std::uint64_t> documents;

  /// Whether both say the same, apart from their sequences and revisions.
  bool has_same_content_as(const node_report& other) const {
    return leaving == other.leaving && isolated == other.isolated && documents == other.documents &&
           address == other.address;
  }
};

} // namespace camphorlug::peers
