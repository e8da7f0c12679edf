#pragma once

#include "camphorlug/net/connection_budget.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/support/memory_budget.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::net {

/// Limits on client connections and requests.
struct server_limits {
  std::size_t max_header_value_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::seconds idle_timeout{60};
  /// Bounds what all connections of the servers on one context have received of requests that are
  /// not complete or not answered; nullptr if there is no bound.
  support::memory_budget* receiving = nullptr;
  /// Bounds the connections of all servers that share it, and must outlive `context`; nullptr if
  /// there is no bound. Its idle limit and its refusals concern the connections of callers only.
  connection_budget* connections = nullptr;
  bool serves_callers = false;
  /// Header by which the log names requests that were not received completely; empty if none.
  std::string request_id_header = {};
};

/// Handles one request in a coroutine of its own.
using request_handler = std::function<support::task<>(server_request, response_writer&)>;

/// An HTTP/1.1 server that listens on one address.
class http_server {
public:
  /// Listens on `address`, an `ip:port`. Throws std::runtime_error when that fails.
  http_server(asio::io_context& context, const std::string& address, request_handler handler,
              server_limits limits = {});
  ~http_server();

  /// Stops accepting connections. Requests in progress are completed.
  void stop_accepting();

  /// Returns the number of requests whose response is not complete or not yet written to its
  /// connection.
  std::size_t in_progress() const;

  /// Returns how many of these responses are complete but not yet written.
  std::size_t unwritten_responses() const;

  /// Returns the number of accept operations that have failed.
  std::uint64_t accept_errors() const;

  /// Returns the number of requests of which only a part has arrived. They are counted if
  /// `server_limits::receiving` is set.
  std::size_t receiving() const;

  /// Logs the requests of which only a part has arrived; called when the process ends.
  void log_incomplete_requests() const;

private:
  struct implementation;
  std::shared_ptr<implementation> implementation_;
};

} // namespace camphorlug::net
