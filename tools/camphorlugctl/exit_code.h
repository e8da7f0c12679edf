#pragma once

namespace camphorlug::ctl {

/// Exit codes; keep in step with the help text and docs/OPERATORS.md.
enum exit_code : int {
  exit_ok = 0,
  /// The node or the service refused the command, or the response was an error.
  exit_refused = 1,
  /// The command line or the document is invalid.
  exit_invalid = 2,
  /// The document was changed since it was fetched.
  exit_conflict = 3,
  /// It is not known whether the edit was accepted.
  exit_unknown = 4,
  /// The node did not respond; for `request`, none of the nodes tried did.
  exit_unreachable = 5,
};

} // namespace camphorlug::ctl
