#pragma once

#include "camphorlug/gateway/home_regions.h"
#include "camphorlug/gateway/request_kind.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A destination service of a route and its share of the requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Routing rule for the requests of one host below one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  request_kind kind = request_kind::non_idempotent;
  /// Longest time from the arrival of a request to its final response.
  std::chrono::milliseconds timeout{10'000};
  /// Latency objective of the response, or of the first event of a stream.
  std::chrono::milliseconds objective{1'000};
  /// Objective for the time between two events of a stream.
  std::chrono::milliseconds pause_objective{1'000};
  /// Maximum number of targets to which one request may be sent.
  std::size_t attempts = 1;
  /// 0 is the most urgent.
  int priority = 5;
  /// Requests need no API key.
  bool is_public = false;
  /// A stream may be resumed at another target after a given event.
  bool resumable = false;
  std::vector<weighted_service> services;
  home_regions homes{};

  /// Whether a request may be executed more than once.
  bool repeatable() const {
    return kind == request_kind::idempotent || (kind == request_kind::stream && resumable);
  }
};

} // namespace camphorlug::gateway
