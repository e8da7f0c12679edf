#pragma once

namespace camphorlug::ctl {

/// Exit codes; also in the help text and docs/OPERATORS.md.
enum exit_code : int {
  exit_ok = 0,
  /// The node or the service refused, or the answer was an error.
  exit_refused = 1,
  /// The command line or the document is wrong.
  exit_usage = 2,
  /// Somebody else's edit came first.
  exit_conflict = 3,
  /// It is not known whether the edit was accepted.
  exit_unknown = 4,
  /// No node answered.
  exit_unreachable = 5,
};

} // namespace camphorlug::ctl
