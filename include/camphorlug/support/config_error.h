#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::support {

/// An error in a settings file or service document.
struct config_error {
  /// The file name, or the service of the document.
  std::string source;
  /// Line number from 1; 0 when the error has no position, as for a missing file.
  std::uint32_t line = 0;
  /// The dotted path of the key, such as `model.span`.
  std::string key;
  /// The value that was found; empty when the key is missing.
  std::string value;
  /// Description of the accepted values.
  std::string allowed;

  /// Formats the error as one line: `file:line: key = value: allowed is ...`.
  std::string to_line() const;
};

using config_errors = std::vector<config_error>;

} // namespace camphorlug::support
