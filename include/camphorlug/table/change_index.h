#pragma once

#include "camphorlug/table/transaction.h"

#include <string>
#include <string_view>

namespace camphorlug::table {

/// Key prefix of the rows that tell when the rows under another prefix last
/// changed: a reader looks at these few and reads the others only when it
/// missed something.
inline constexpr std::string_view index_prefix = "index/";

/// The write that a transaction needs when it changes rows under `prefix`; its
/// row gets the transaction's commit number as its version.
row_write make_index_write(std::string_view prefix);

/// The prefix that an index row speaks of.
std::string indexed_prefix(std::string_view index_key);

} // namespace camphorlug::table
