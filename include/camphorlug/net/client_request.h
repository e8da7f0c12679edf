#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/net/response_head.h"

#include <chrono>
#include <functional>
#include <string>

namespace camphorlug::net {

/// Whether a request may travel on a connection that served an earlier one.
enum class connection_use {
  /// Always a connection of its own, so that a failure before it was made is
  /// known to have reached nobody and the library cannot repeat the request.
  fresh,
  /// May reuse a connection. A request whose reused connection dies is never sent again,
  /// but the target may have run it.
  pooled,
};

/// A request that this process sends.
struct client_request {
  std::string method = "GET";
  /// `ip:port`.
  std::string address;
  /// Path with its query part.
  std::string target = "/";
  header_list headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{500};
  connection_use connection = connection_use::fresh;
  /// Asked once the connection stands and before the first byte goes out; false
  /// ends the request unsent. Empty for always.
  std::function<bool()> send_if;
  /// Asked for the head of the answer; false spoils the connection, which has
  /// bytes of another request on it. Empty for always.
  std::function<bool(const response_head&)> accept_head;
};

} // namespace camphorlug::net
