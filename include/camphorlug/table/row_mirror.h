#pragma once

#include "camphorlug/table/change_feed.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace camphorlug::table {

/// A copy of one table as this node has read it, served to peers that cannot reach
/// the store. A row's version never decreases; that of a later era is larger.
class row_mirror {
public:
  /// Number of tombstones kept; a reader that lacks older deletions gets a snapshot.
  static constexpr std::size_t max_tombstones = 1000;

  /// Applies a batch of the feed; ignores one of an earlier era. If `is_snapshot`, rows that are
  /// absent from the batch and not newer than it are deleted.
  void apply(const feed_batch& batch, bool is_snapshot);

  /// Returns the rows that changed after `since`. If tombstones newer than `since`
  /// were dropped or `since` belongs to an earlier era, returns a snapshot instead and sets
  /// `history_truncated`.
  feed_batch changes(std::uint64_t since) const;

  /// Returns all rows that exist, with `history_truncated` set.
  feed_batch snapshot() const;

  /// The version up to which all changes were applied; 0 before the first batch.
  std::uint64_t version() const { return version_; }

  /// The version of the newest row that was applied. `version()` also advances with
  /// changes to other tables.
  std::uint64_t newest_row_version() const { return newest_row_version_; }

private:
  void apply(const feed_row& row);
  void add_tombstone(std::uint64_t version, const std::string& key);

  std::uint64_t version_ = 0;
  std::uint64_t newest_row_version_ = 0;
  std::map<std::string, feed_row> rows_;
  /// Version and key of each deletion, oldest first; the key may have been written again since.
  std::deque<std::pair<std::uint64_t, std::string>> tombstones_;
  /// The version of the newest tombstone that was dropped.
  std::uint64_t newest_dropped_tombstone_ = 0;
};

/// Serializes a batch for transfer between nodes.
std::string to_json(const feed_batch& batch);
/// Parses the output of `to_json`. Throws nlohmann::json::exception.
feed_batch batch_from_json(const std::string& text);

} // namespace camphorlug::table
