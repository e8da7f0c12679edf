#pragma once

#include <cstdint>
#include <string>

namespace camphorlug::documents {

/// One accepted text of a service document; the value of its row.
struct document_version {
  std::string service;
  /// Counted from 1 for each service.
  std::uint64_t number = 0;
  std::string text;
  /// Chosen by the editor; the same id is never accepted twice.
  std::string edit_id;
  std::string author;
  /// When the accepting node wrote it, by its own calendar, for people only.
  std::string written_at;

  /// The row value.
  std::string to_json() const;

  /// Throws std::runtime_error when `json` is not such a value.
  static document_version from_json(const std::string& json);
};

} // namespace camphorlug::documents
