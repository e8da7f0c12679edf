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

/// Version of a node's report, without the report.
struct report_digest {
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;

  /// Whether the report of this revision was made after that of `other`.
  bool has_newer_content_than(const report_digest& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : revision > other.revision;
  }

  /// Whether this is a later sign of life than `other`.
  bool is_later_than(const report_digest& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : sequence > other.sequence;
  }
};

report_digest digest_of(const node_report& report);

/// Version of a row, without the row.
struct row_digest {
  std::string key;
  std::uint64_t version = 0;
};

/// A sighting on its way: its age travels, since clocks differ.
struct relayed_observation {
  targets::instance_report report;
  std::chrono::milliseconds age{0};
};

/// One half of an exchange between two nodes. Parts that are not needed stay empty.
struct peer_message {
  node_report sender;
  /// Signs of life of the nodes that the sender knows; in a reply only those
  /// that are later than in the message.
  std::vector<report_digest> report_digests;
  /// Reports that have another content than those that the receiver has.
  std::vector<node_report> reports;
  /// Hashes of the row cache by bucket.
  std::vector<std::uint64_t> row_fingerprints;
  /// Versions of the rows in the buckets that differ.
  std::vector<row_digest> row_digests;
  std::vector<std::size_t> differing_buckets;
  std::vector<std::string> wanted_rows;
  std::vector<table::row> rows;
  /// Instances that the sender has not seen lately.
  std::vector<std::string> missed_instances;
  std::vector<relayed_observation> observations;
  /// Set by a node that has no instance list of its own.
  bool wants_instances = false;
  std::vector<table::listed_instance> instances;

  std::string to_json() const;

  /// Throws std::runtime_error when `json` is not such a message.
  static peer_message from_json(const std::string& json);
};

} // namespace camphorlug::peers
