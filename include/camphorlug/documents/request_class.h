#pragma once

#include <chrono>
#include <string>

namespace camphorlug::documents {

/// One class of requests and what it is promised.
struct request_class {
  std::string name;
  /// Share of the service's capacity against the other classes' weights.
  double weight = 1;
  /// Priority that is handed to the engines; larger goes first.
  int priority = 0;
  /// How long a request may wait and run when its caller names no deadline.
  std::chrono::milliseconds deadline{30'000};
};

} // namespace camphorlug::documents
