#pragma once

#include "camphorlug/support/task.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::table {

/// A row as a feed shows it.
struct feed_row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

/// Rows of one table and the version up to which the answer speaks.
struct feed_batch {
  std::vector<feed_row> rows;
  std::uint64_t version = 0;
  /// The changes since the wanted version are no longer kept; read the table anew.
  bool history_truncated = false;
};

/// Reads whole tables and what changes in them.
class change_feed {
public:
  change_feed() = default;
  change_feed(const change_feed&) = delete;
  change_feed& operator=(const change_feed&) = delete;
  virtual ~change_feed() = default;

  /// All rows of `table`. `version` is that of the first page. Throws store_error.
  virtual support::task<feed_batch> read_all(std::string table) = 0;

  /// Rows that changed after `since`; waits up to `wait` for one. Throws store_error.
  virtual support::task<feed_batch> changes(std::string table, std::uint64_t since,
                                            std::chrono::milliseconds wait) = 0;
};

} // namespace camphorlug::table
