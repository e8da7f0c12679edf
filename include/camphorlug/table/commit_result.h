#pragma once

#include "camphorlug/table/row.h"

#include <cstdint>
#include <vector>

namespace camphorlug::table {

/// The table service's response to a transaction.
struct commit_result {
  bool committed = false;
  /// The version of every row that was written (store_version.h).
  std::uint64_t version = 0;
  /// After a failed check: the current state of the checked rows that exist.
  std::vector<row> current;
};

} // namespace camphorlug::table
