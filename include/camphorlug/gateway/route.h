#pragma once

#include "camphorlug/gateway/request_kind.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// One service that a route leads to, with its share of the requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Requests of one host below one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  request_kind kind = request_kind::non_idempotent;
  /// Longest time for which a request is kept waiting for its final answer.
  std::chrono::milliseconds timeout{10'000};
  /// Time within which an answer is worth most; for streams, its first event.
  std::chrono::milliseconds objective{1'000};
  /// Longest pause between two events of a stream that is still on time.
  std::chrono::milliseconds pause_objective{1'000};
  /// Most targets to which one request may be sent.
  std::size_t attempts = 1;
  /// 0 goes first.
  int priority = 5;
  /// Requests need no key.
  bool is_public = false;
  /// A stream may go on at another target after a given event.
  bool resumable = false;
  std::vector<weighted_service> services;

  /// Whether a request may run more than once.
  bool repeatable() const {
    return kind == request_kind::idempotent || (kind == request_kind::stream && resumable);
  }
};

} // namespace camphorlug::gateway
