#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::net {

/// What a listener takes from its callers.
struct server_limits {
  std::size_t header_value_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  std::chrono::seconds idle_connection{60};
};

/// Answers one request; runs as a coroutine of its own.
using request_handler = std::function<support::task<>(server_request, response_writer&)>;

/// An HTTP/1.1 listener on one address.
class http_server {
public:
  /// `address` is `ip:port`. Throws std::runtime_error when it cannot listen.
  http_server(asio::io_context& context, const std::string& address, request_handler handler,
              server_limits limits = {});
  ~http_server();

  /// Stops accepting connections; answers in progress run to their end.
  void stop_accepting();

  /// Requests whose handler has not returned.
  std::size_t in_progress() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace camphorlug::net
