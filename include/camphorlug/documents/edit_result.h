#pragma once

#include "camphorlug/documents/document_version.h"
#include "camphorlug/support/config_error.h"

namespace camphorlug::documents {

/// The outcome of an edit.
enum class edit_outcome {
  /// Written; `current` is the new version.
  accepted,
  /// Another edit was committed first; `current` is the version that it wrote.
  conflict,
  /// The text is not a valid document; nothing was written.
  invalid,
  /// This call wrote nothing: the table service could not be reached or refused the request.
  not_written,
  /// The table service's response was lost; retry with the same edit id to find out.
  unknown,
};

/// The result of an edit.
struct edit_result {
  edit_outcome outcome = edit_outcome::unknown;
  document_version current;
  support::config_errors errors;
};

} // namespace camphorlug::documents
