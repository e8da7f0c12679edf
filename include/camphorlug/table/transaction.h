#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::table {

/// Requires that a row still has the given version (store_version.h); 0 requires that it does not
/// exist.
struct row_check {
  std::string key;
  std::uint64_t version = 0;
};

/// Writes a row, or deletes it if `value` is nullopt.
struct row_write {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that are applied atomically, and only if all checks pass.
struct transaction {
  std::vector<row_check> checks;
  std::vector<row_write> writes;
};

} // namespace camphorlug::table
