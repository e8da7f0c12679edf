#pragma once

#include "camphorlug/net/client_request.h"
#include "camphorlug/net/http_exchange.h"

#include <chrono>
#include <memory>
#include <string>

namespace camphorlug::net {

/// A complete response.
struct client_response {
  int status = 0;
  header_list headers;
  std::string body;
};

/// Interface for sending HTTP requests.
class http_client {
public:
  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  virtual ~http_client() = default;

  /// Starts sending `request`.
  virtual std::unique_ptr<http_exchange> open(client_request request) = 0;

  /// Sends `request` and returns the complete response. `timeout` limits the wait for the head and
  /// each wait for more of the body; `request.limits` bounds the response. Throws transport_error.
  support::task<client_response> fetch(client_request request, std::chrono::nanoseconds timeout);

  /// Reads the complete response of an exchange, see `fetch`. Throws transport_error.
  static support::task<client_response> collect(http_exchange& exchange,
                                                std::chrono::nanoseconds timeout);
};

} // namespace camphorlug::net
