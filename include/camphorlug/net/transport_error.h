#pragma once

#include <stdexcept>
#include <string>

namespace camphorlug::net {

/// How far a request had come when its transport failed.
enum class request_progress {
  /// No connection was made, so no byte of it reached the other end.
  not_sent,
  /// Some of it may have been read and acted on.
  may_have_been_read,
};

/// A request that ended without a whole answer.
class transport_error final : public std::runtime_error {
public:
  transport_error(request_progress progress, bool timed_out, const std::string& reason)
      : std::runtime_error(reason), progress_(progress), timed_out_(timed_out) {}

  request_progress progress() const { return progress_; }

  /// True when a time limit ran out, false when the connection failed.
  bool timed_out() const { return timed_out_; }

private:
  request_progress progress_;
  bool timed_out_;
};

} // namespace camphorlug::net
