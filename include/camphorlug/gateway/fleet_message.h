#pragma once

#include "camphorlug/gateway/cold_notice.h"
#include "camphorlug/gateway/evacuation_list.h"
#include "camphorlug/gateway/fleet_size.h"
#include "camphorlug/gateway/fleet_summary.h"
#include "camphorlug/gateway/node_status.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Identifies one state of a section.
struct section_stamp {
  /// Incarnation of the section's owner.
  std::uint64_t incarnation = 0;
  /// Increases with each change of the members.
  std::uint64_t version = 0;

  auto operator<=>(const section_stamp&) const = default;
};

/// A hub and the nodes that are attached to it.
struct fleet_section {
  std::string owner;
  section_stamp stamp;
  std::vector<node_status> members;
  /// Time since the sender heard of the owner.
  std::chrono::milliseconds age{0};
};

/// A request or response between two nodes: between an attached node and its hub, or between two
/// hubs.
struct fleet_message {
  /// In a request: the sender attaches itself to the receiver. Otherwise both are hubs.
  bool attaches = false;
  node_status sender;
  /// Increases within an incarnation of the sender with each message.
  std::uint64_t sequence = 0;
  /// Version of the configuration that can be fetched from the sender; 0 if it has none.
  std::uint64_t config_version = 0;
  /// Commit number of the newest target entry that can be fetched from the sender.
  std::uint64_t entries_version = 0;
  /// How stale the sender's configuration with the evacuations, and its target entries, may be;
  /// nothing from an older build or while it does not know.
  std::optional<std::chrono::milliseconds> config_staleness;
  std::optional<std::chrono::milliseconds> entries_staleness;
  /// The highest era of the store that the sender knows of.
  std::uint64_t store_era = 0;
  /// Digest of the sender's crash evidence, which can be fetched from it; 0 if it has none.
  std::uint64_t crash_digest = 0;
  /// What the sender knows of evacuations; nothing if it knows of no read of their rows, as in
  /// each message of an older build.
  std::optional<reported_evacuations> evacuations;
  /// How many nodes the sender knows; nothing from an older build.
  std::optional<fleet_size> nodes;
  /// Targets that said in a response that they are cold, as far as their rows do not say so.
  cold_notices cold;
  /// Of the sender alone (request of an attached node), of all nodes but the receiver (response
  /// to it), or of the sender's section (between hubs).
  fleet_summary summary;
  /// Sections that the sender holds, by owner.
  std::map<std::string, section_stamp> known;
  /// Sections that the receiver lacks.
  std::vector<fleet_section> sections;
  /// Owners of all sections that the sender believes alive, with the time since it heard of them;
  /// not in a request of an attached node.
  std::map<std::string, std::chrono::milliseconds> owners;

  std::string to_json() const;
  /// Throws nlohmann::json::exception if `text` is not a valid message.
  static fleet_message from_json(const std::string& text);
};

} // namespace camphorlug::gateway
