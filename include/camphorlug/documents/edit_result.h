#pragma once

#include "camphorlug/documents/document_version.h"
#include "camphorlug/support/config_error.h"

namespace camphorlug::documents {

/// How an edit ended.
enum class edit_outcome {
  /// Written; `current` is the new version.
  accepted,
  /// Somebody else's edit came first; `current` is theirs.
  conflict,
  /// The text has faults; nothing was written.
  invalid,
  /// The table service was not reached; nothing was written.
  not_written,
  /// The table service's answer was lost; ask again with the same edit id.
  unknown,
};

/// The answer to an edit.
struct edit_result {
  edit_outcome outcome = edit_outcome::unknown;
  document_version current;
  support::config_errors errors;
};

} // namespace camphorlug::documents
