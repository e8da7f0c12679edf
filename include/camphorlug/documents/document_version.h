#pragma once

#include <cstdint>
#include <string>

namespace camphorlug::documents {

/// One accepted version of a service document, stored as the value of a row.
struct document_version {
  std::string service;
  /// Numbered from 1 for each service.
  std::uint64_t number = 0;
  std::string text;
  /// Chosen by the client of the edit; the same id is never accepted twice.
  std::string edit_id;
  std::string author;
  /// The UTC time on the accepting node's clock; informational only.
  std::string written_at;

  /// Serializes the version as a row value.
  std::string to_json() const;

  /// Parses a row value. Throws std::runtime_error if `json` is not a document version.
  static document_version from_json(const std::string& json);
};

} // namespace camphorlug::documents
