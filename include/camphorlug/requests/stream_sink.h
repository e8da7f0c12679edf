#pragma once

#include "camphorlug/requests/request_outcome.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <string>

namespace camphorlug::requests {

/// Destination of a relayed stream.
class stream_sink {
public:
  stream_sink() = default;
  stream_sink(const stream_sink&) = delete;
  stream_sink& operator=(const stream_sink&) = delete;
  virtual ~stream_sink() = default;

  /// Receives one event; `text` is its part of the generated text. Returns false if
  /// the caller has disconnected.
  virtual support::task<bool> event(std::string id, std::string data, std::string text) = 0;

  /// Ends a complete stream.
  virtual support::task<> done() = 0;

  /// Reports that the stream cannot be completed.
  virtual support::task<> fail(int status, request_outcome outcome, std::string type,
                               std::string detail, std::chrono::seconds retry_after) = 0;
};

} // namespace camphorlug::requests
