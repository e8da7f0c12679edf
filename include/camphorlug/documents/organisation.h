#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// One organisation that may call a service.
struct organisation {
  std::string name;
  /// SHA-256 of each bearer key in lower-case hexadecimal.
  std::vector<std::string> key_hashes;
  /// Share of a class's capacity against the other organisations' weights.
  double weight = 1;
  /// Requests in progress at one node; 0 for no limit.
  std::size_t max_in_flight = 0;
  /// Class of a request that names none.
  std::string default_class;
};

} // namespace camphorlug::documents
