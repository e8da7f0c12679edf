#pragma once

#include <chrono>
#include <string>

namespace camphorlug::documents {

/// A class of requests, with its capacity share, priority and deadline.
struct request_class {
  std::string name;
  /// Weight of its share of the service's capacity, relative to the other classes.
  double weight = 1;
  /// Priority that is passed to the engines; higher values run first.
  int priority = 0;
  /// Limit on queueing plus running time if the caller specifies no deadline.
  std::chrono::milliseconds deadline{30'000};
};

} // namespace camphorlug::documents
