#pragma once

#include "camphorlug/net/response_head.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <optional>
#include <string>

namespace camphorlug::net {

/// A request in progress. A response that exceeds the request's limits ends with an unreadable
/// transport_error. Destroying it closes its connection unless the response is complete.
class http_exchange {
public:
  http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;
  virtual ~http_exchange() = default;

  /// Waits for the response's status and headers. Throws transport_error.
  virtual support::task<response_head> head(std::chrono::nanoseconds timeout) = 0;

  /// Returns the next bytes of the body, or nothing at its regular end.
  /// Throws transport_error.
  virtual support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) = 0;

  /// Makes current and future waits throw transport_error.
  virtual void cancel() = 0;
};

} // namespace camphorlug::net
