#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::support {

/// One fault of a settings file or service document.
struct config_error {
  /// File name, or the document's service.
  std::string source;
  /// Counted from 1; 0 when the fault has no place, as with a missing file.
  std::uint32_t line = 0;
  /// Dotted path of the key: `model.span`.
  std::string key;
  /// The text that was found; empty when the key is missing.
  std::string value;
  /// What would have been accepted.
  std::string allowed;

  /// The fault on one line: `file:line: key = value: allowed ...`.
  std::string to_line() const;
};

using config_errors = std::vector<config_error>;

} // namespace camphorlug::support
