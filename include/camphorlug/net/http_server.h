#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::net {

/// Answers one request; runs as a coroutine of its own.
using request_handler = std::function<support::task<>(server_request, response_writer&)>;

/// An HTTP/1.1 listener on one address.
class http_server {
public:
  /// `address` is `ip:port`. Throws std::runtime_error when it cannot listen.
  http_server(asio::io_context& context, const std::string& address, request_handler handler);
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
