#pragma once

#include <string>

namespace camphorlug::edge {

/// Tables and keys that an edge node reads.
struct table_names {
  std::string config_table;
  std::string config_key;
  std::string target_table;
  /// Table of the rows that the edge nodes themselves write.
  std::string own_table;
  /// A row of the configuration table with this prefix and the name of a data centre asks for
  /// its evacuation. Empty if the platform has no such rows.
  std::string evacuation_prefix{};
};

} // namespace camphorlug::edge
