#pragma once

#include "camphorlug/net/client_request.h"
#include "camphorlug/net/http_exchange.h"

#include <chrono>
#include <memory>
#include <string>

namespace camphorlug::net {

/// A whole answer.
struct client_response {
  int status = 0;
  header_list headers;
  std::string body;
};

/// The way by which this process sends requests.
class http_client {
public:
  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  virtual ~http_client() = default;

  /// Starts to send `request`.
  virtual std::unique_ptr<http_exchange> open(client_request request) = 0;

  /// Sends `request` and collects its whole answer; `timeout` holds for each silence.
  /// Throws transport_error.
  support::task<client_response> fetch(client_request request, std::chrono::nanoseconds timeout);

  /// Collects the whole answer of an exchange; `timeout` holds for each silence.
  /// Throws transport_error.
  static support::task<client_response> collect(http_exchange& exchange,
                                                std::chrono::nanoseconds timeout);
};

} // namespace camphorlug::net
