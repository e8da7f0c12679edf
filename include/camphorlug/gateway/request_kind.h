#pragma once

namespace camphorlug::gateway {

/// How the requests of a route may be retried.
enum class request_kind {
  /// May be executed more than once.
  idempotent,
  /// Must be executed at most once.
  non_idempotent,
  /// The response is a stream of events. Repeatable only if the route is resumable.
  stream,
};

} // namespace camphorlug::gateway
