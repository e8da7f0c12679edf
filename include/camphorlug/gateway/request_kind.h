#pragma once

namespace camphorlug::gateway {

/// What may be done with the requests of a route.
enum class request_kind {
  /// May run more than once.
  idempotent,
  /// May run at most once.
  non_idempotent,
  /// Answered by a stream of events; repeatable only where it may be resumed.
  stream,
};

} // namespace camphorlug::gateway
