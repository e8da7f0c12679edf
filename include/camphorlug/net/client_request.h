#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/net/response_head.h"
#include "camphorlug/net/response_limits.h"

#include <chrono>
#include <functional>
#include <string>

namespace camphorlug::net {

/// Whether a request may use a connection that carried an earlier request.
enum class connection_use {
  /// Always opens a new connection. A failure to connect then proves that the request
  /// reached no server, and libcurl cannot resend the request by itself.
  fresh,
  /// May reuse an idle connection. A request whose reused connection breaks is never
  /// resent, but the server may have executed it.
  pooled,
};

/// An outgoing HTTP request.
struct client_request {
  std::string method = "GET";
  /// `ip:port`.
  std::string address;
  /// The path and query.
  std::string target = "/";
  header_list headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{500};
  connection_use connection = connection_use::fresh;
  /// A response that exceeds them ends with an unreadable transport_error.
  response_limits limits;
  /// Called when the connection is established and before the first byte is sent.
  /// Returning false aborts the request unsent. When empty, the request is always sent.
  std::function<bool()> send_if;
  /// Returns whether the response with this head belongs to this request. On false, the
  /// request is aborted and its connection closed, because it carries bytes of another
  /// request. When empty, every head is accepted.
  std::function<bool(const response_head&)> accept_head;
};

} // namespace camphorlug::net
