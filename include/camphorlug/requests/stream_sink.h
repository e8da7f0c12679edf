#pragma once

#include "camphorlug/requests/request_outcome.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <string>

namespace camphorlug::requests {

/// Where a relayed stream goes to.
class stream_sink {
public:
  stream_sink() = default;
  stream_sink(const stream_sink&) = delete;
  stream_sink& operator=(const stream_sink&) = delete;
  virtual ~stream_sink() = default;

  /// Takes one event; `text` is its part of the answer. False when the caller is gone.
  virtual support::task<bool> event(std::string id, std::string data, std::string text) = 0;

  /// The stream is complete.
  virtual support::task<> done() = 0;

  /// The stream cannot be finished.
  virtual support::task<> fail(int status, request_outcome outcome, std::string type,
                               std::string detail, std::chrono::seconds retry_after) = 0;
};

} // namespace camphorlug::requests
