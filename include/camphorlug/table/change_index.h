#pragma once

#include "camphorlug/table/transaction.h"

#include <string>
#include <string_view>

namespace camphorlug::table {

/// Key prefix of the index rows. The version of an index row is the commit that
/// last changed any row under the indexed prefix, so a reader polls the few index
/// rows and scans a prefix only after it missed a change there.
inline constexpr std::string_view index_prefix = "index/";

/// Returns the index write that every transaction that changes rows under `prefix`
/// must include; the index row's version becomes the commit number.
row_write make_index_write(std::string_view prefix);

/// Returns the prefix that the index row under `index_key` stands for.
std::string indexed_prefix(std::string_view index_key);

} // namespace camphorlug::table
