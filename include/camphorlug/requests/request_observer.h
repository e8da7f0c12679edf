#pragma once

#include "camphorlug/requests/request_outcome.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace camphorlug::requests {

/// Labels of a request's metrics.
struct request_labels {
  std::string service;
  std::string organisation;
  std::string class_name;
};

/// Receives measurements of requests.
class request_observer {
public:
  request_observer() = default;
  request_observer(const request_observer&) = delete;
  request_observer& operator=(const request_observer&) = delete;
  virtual ~request_observer() = default;

  virtual void on_queued(const request_labels& labels, std::chrono::nanoseconds waited) = 0;
  virtual void on_attempt(const request_labels& labels) = 0;
  virtual void on_first_token(const request_labels& labels, std::chrono::nanoseconds latency) = 0;
  virtual void on_inter_token(const request_labels& labels, std::chrono::nanoseconds gap) = 0;
  virtual void on_resumed(const request_labels& labels) = 0;
  virtual void on_finished(const request_labels& labels, request_outcome outcome,
                           std::chrono::nanoseconds total) = 0;
};

} // namespace camphorlug::requests
