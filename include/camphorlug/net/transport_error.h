#pragma once

#include <stdexcept>
#include <string>

namespace camphorlug::net {

/// How much of a request may have been sent when its transport failed.
enum class request_progress {
  /// No byte of the request was sent: there was no connection, or the request was aborted
  /// before sending.
  not_sent,
  /// The server may have read part of the request and acted on it.
  may_have_been_read,
};

/// Thrown when a request ends without a complete response.
class transport_error final : public std::runtime_error {
public:
  transport_error(request_progress progress, bool timed_out, const std::string& reason)
      : std::runtime_error(reason), progress_(progress), timed_out_(timed_out) {}

  /// Returns the error of a response that exceeds the limits of its request or is not HTTP.
  static transport_error unreadable_response(const std::string& reason) {
    transport_error error(request_progress::may_have_been_read, false, reason);
    error.unreadable_ = true;
    return error;
  }

  request_progress progress() const { return progress_; }

  /// True when a time limit expired, false when the connection failed.
  bool timed_out() const { return timed_out_; }

  /// True when the server sent a response that cannot be used. It is reachable, and nothing shows
  /// that it has crashed.
  bool unreadable() const { return unreadable_; }

private:
  request_progress progress_;
  bool timed_out_;
  bool unreadable_ = false;
};

} // namespace camphorlug::net
