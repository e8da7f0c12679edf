#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// An organisation that is authorized to call a service.
struct organisation {
  std::string name;
  /// The SHA-256 hash of each bearer key, in lower-case hexadecimal.
  std::vector<std::string> key_hashes;
  /// Weight of its share of a class's capacity, relative to the other organisations.
  double weight = 1;
  /// Maximum number of requests in flight at one node; 0 for no limit.
  std::size_t max_in_flight = 0;
  /// The class of a request that specifies none.
  std::string default_class;
};

} // namespace camphorlug::documents
