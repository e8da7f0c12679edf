#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/support/task.h"

#include <functional>
#include <string>

namespace camphorlug::net {

/// Writes the response to a request: either one call of `send`, or `start`, any number of
/// `write` calls and `finish`.
class response_writer {
public:
  response_writer() = default;
  response_writer(const response_writer&) = delete;
  response_writer& operator=(const response_writer&) = delete;
  virtual ~response_writer() = default;

  /// Sends a complete response.
  virtual void send(int status, header_list headers, std::string body) = 0;

  /// Starts a response whose body is sent in chunks.
  virtual void start(int status, header_list headers) = 0;

  /// Sends one chunk and returns after it was written to the connection. Returns false
  /// when the client has disconnected.
  virtual support::task<bool> write(std::string chunk) = 0;

  /// Completes a response begun by `start`.
  virtual void finish() = 0;

  /// Returns when the response completed by `send` or `finish` has been written to the connection.
  /// Returns false when the connection closed before.
  virtual support::task<bool> written() = 0;

  /// Resets the connection, so that the client cannot mistake the response for a complete one.
  virtual void abort() = 0;

  /// Registers `callback` to be called once when the client closes its connection while the
  /// handler runs.
  virtual void on_disconnect(std::function<void()> callback) = 0;

  /// Returns true after `send` or `start`.
  virtual bool started() const = 0;
};

} // namespace camphorlug::net
