#pragma once

#include "camphorlug/table/row.h"

#include <cstdint>
#include <vector>

namespace camphorlug::table {

/// The table service's answer to a transaction.
struct commit_result {
  bool committed = false;
  /// The commit's number, which is the version of each row that it wrote.
  std::uint64_t version = 0;
  /// When a check failed: the checked rows that exist, as they are.
  std::vector<row> current;
};

} // namespace camphorlug::table
