#pragma once

#include "camphorlug/table/change_feed.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace camphorlug::table {

/// The rows of one table as this node has read them, for peers that do not reach
/// the store. Rows only go forward.
class row_mirror {
public:
  /// Deletions that are remembered; who lacks older ones gets the whole table.
  static constexpr std::size_t max_tombstones = 1000;

  /// Takes a batch of the feed; `whole` tells that rows which are not in it do not exist.
  void apply(const feed_batch& batch, bool whole);

  /// All that changed after `since`. With `history_gone` the batch has the whole
  /// table instead, since some deletions are no longer remembered.
  feed_batch changes(std::uint64_t since) const;

  /// The version up to which every change was read; 0 before the first reading.
  std::uint64_t version() const { return version_; }

  /// The version of the newest row that was read. The one above also grows with
  /// changes of other tables.
  std::uint64_t newest_row_version() const { return newest_row_version_; }

private:
  void apply(const feed_row& row);
  void add_tombstone(std::uint64_t version, const std::string& key);

  std::uint64_t version_ = 0;
  std::uint64_t newest_row_version_ = 0;
  std::map<std::string, feed_row> rows_;
  /// Deletions in `rows_`, the oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> tombstones_;
  /// The newest deletion that is no longer remembered.
  std::uint64_t newest_dropped_tombstone_ = 0;
};

/// A batch as nodes send it to each other.
std::string to_json(const feed_batch& batch);
/// Throws nlohmann::json::exception.
feed_batch batch_from_json(const std::string& text);

} // namespace camphorlug::table
