#pragma once

#include <string>

namespace camphorlug::edge {

/// Where the rows lie that an edge node reads.
struct table_names {
  std::string config_table;
  std::string config_key;
  std::string target_table;
  /// The product's own rows.
  std::string own_table;
};

} // namespace camphorlug::edge
