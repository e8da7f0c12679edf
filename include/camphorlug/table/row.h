#pragma once

#include <cstdint>
#include <string>

namespace camphorlug::table {

/// One row of the table service.
struct row {
  std::string key;
  /// JSON text; its schema belongs to the module that owns the key's prefix.
  std::string value;
  /// The commit that wrote the row, with the era in which it was read (store_version.h). Commit
  /// numbers increase across the whole table; 0 means that the row does not exist.
  std::uint64_t version = 0;
};

} // namespace camphorlug::table
