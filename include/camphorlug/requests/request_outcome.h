#pragma once

namespace camphorlug::requests {

/// Outcome of a request, as its caller sees it.
enum class request_outcome {
  /// The caller received the target's complete response.
  answered,
  /// The request certainly did not run.
  not_run,
  /// The request may have run.
  unknown,
  /// The request itself was invalid.
  rejected,
  /// The caller disconnected.
  abandoned,
};

const char* to_string(request_outcome outcome);

} // namespace camphorlug::requests
