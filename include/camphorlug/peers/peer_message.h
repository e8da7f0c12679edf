#pragma once

#include "camphorlug/peers/node_report.h"
#include "camphorlug/table/listed_instance.h"
#include "camphorlug/table/row.h"
#include "camphorlug/targets/instance_report.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::peers {

/// Identifies the version of a node's report, without the content.
struct report_digest {
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;

  /// Whether the content of this version is newer than that of `other`.
  bool has_newer_content_than(const report_digest& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : revision > other.revision;
  }

  /// Whether this is a later heartbeat than `other`.
  bool is_later_than(const report_digest& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : sequence > other.sequence;
  }
};

report_digest digest_of(const node_report& report);

/// Identifies the version of a row, without the value.
struct row_digest {
  std::string key;
  std::uint64_t version = 0;
};

/// An observation sent to a peer. It carries an age instead of a time, since the
/// nodes' clocks differ.
struct relayed_observation {
  targets::instance_report report;
  std::chrono::milliseconds age{0};
};

/// A request or reply in an exchange between two nodes. Parts that are not needed
/// stay empty.
struct peer_message {
  node_report sender;
  /// Report versions of the nodes that the sender knows. A reply contains only those
  /// that are later than in the request.
  std::vector<report_digest> report_digests;
  /// Reports whose content is newer than the receiver's.
  std::vector<node_report> reports;
  /// Hash of each bucket of the sender's row cache.
  std::vector<std::uint64_t> row_fingerprints;
  /// Versions of the rows in the differing buckets.
  std::vector<row_digest> row_digests;
  std::vector<std::size_t> differing_buckets;
  std::vector<std::string> wanted_rows;
  std::vector<table::row> rows;
  /// Instances of which the sender has no recent observation.
  std::vector<std::string> missed_instances;
  std::vector<relayed_observation> observations;
  /// Set by a node that has not read an instance list itself.
  bool wants_instances = false;
  std::vector<table::listed_instance> instances;

  std::string to_json() const;

  /// Throws std::runtime_error if `json` is not a valid peer message.
  static peer_message from_json(const std::string& json);
};

} // namespace camphorlug::peers
