#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/support/task.h"

#include <functional>
#include <string>

namespace camphorlug::net {

/// The one answer to a request: either `send`, or `start`, any number of `write`, `finish`.
class response_writer {
public:
  response_writer() = default;
  response_writer(const response_writer&) = delete;
  response_writer& operator=(const response_writer&) = delete;
  virtual ~response_writer() = default;

  /// Sends a whole answer at once.
  virtual void send(int status, header_list headers, std::string body) = 0;

  /// Starts an answer whose body follows in pieces.
  virtual void start(int status, header_list headers) = 0;

  /// Sends one piece and returns when it is handed to the connection, false when
  /// the caller is gone.
  virtual support::task<bool> write(std::string piece) = 0;

  /// Ends an answer begun by `start`.
  virtual void finish() = 0;

  /// Resets the connection, so that the answer cannot be taken for a whole one.
  virtual void abort() = 0;

  /// Calls `action` once when the caller has closed its connection.
  virtual void on_disconnect(std::function<void()> action) = 0;

  /// True after `send` or `start`.
  virtual bool started() const = 0;
};

} // namespace camphorlug::net
