#pragma once

#include "camphorlug/support/task.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::table {

/// A row as reported by a change feed; a deleted row is reported as a tombstone.
struct feed_row {
  std::string key;
  std::string value;
  /// With the era in which the row was read (store_version.h).
  std::uint64_t version = 0;
  bool deleted = false;
};

/// Rows of one table, complete up to `version`.
struct feed_batch {
  std::vector<feed_row> rows;
  std::uint64_t version = 0;
  /// Not all changes since the requested version are available any more, or the store is in
  /// another era than it. From a change_feed: `version` tells the era; ignore `rows` and read a
  /// snapshot. From a row_mirror: `rows` is a snapshot.
  bool history_truncated = false;
};

/// Reads snapshots of tables and the changes made to them.
class change_feed {
public:
  change_feed() = default;
  change_feed(const change_feed&) = delete;
  change_feed& operator=(const change_feed&) = delete;
  virtual ~change_feed() = default;

  /// Reads all rows of `table`. The batch's `version` is that of the first page.
  /// Throws store_error.
  virtual support::task<feed_batch> read_all(std::string table) = 0;

  /// The same for a caller that cannot wait for a connection that has become silent: on a new
  /// connection, and without an answer for no longer than `timeout`. Throws store_error.
  virtual support::task<feed_batch> read_all_within(std::string table,
                                                    std::chrono::milliseconds timeout) = 0;

  /// Returns the rows that changed after `since`, and waits up to `wait` for a change.
  /// Throws store_error.
  virtual support::task<feed_batch> changes(std::string table, std::uint64_t since,
                                            std::chrono::milliseconds wait) = 0;
};

} // namespace camphorlug::table
