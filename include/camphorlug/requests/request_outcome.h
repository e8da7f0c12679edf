#pragma once

namespace camphorlug::requests {

/// How a request ended for its caller.
enum class request_outcome {
  /// The caller got the target's whole answer.
  answered,
  /// It certainly did not run.
  not_run,
  /// It may have run.
  unknown,
  /// The request itself was wrong.
  rejected,
  /// The caller went away.
  abandoned,
};

const char* to_string(request_outcome outcome);

} // namespace camphorlug::requests
