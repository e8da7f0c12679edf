#pragma once

#include "camphorlug/documents/edit_result.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/table/row_cache.h"
#include "camphorlug/table/table_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// A request to replace the document version that the operator last read.
struct edit_request {
  std::string service;
  std::string text;
  /// The version that the edit is based on; 0 for a new service.
  std::uint64_t expected_number = 0;
  std::string edit_id;
  std::string author;
};

/// Writes document versions through the table service. Each version is also
/// stored in a row of its own under `history/`.
class document_editor {
public:
  document_editor(table::table_store& store, table::row_cache& rows, support::clock& time);

  /// Writes a new version if `expected_number` is still the current one. A retry with the
  /// same edit id returns the version that the edit created.
  support::task<edit_result> edit(edit_request request);

  /// Reads the accepted versions of `service`, oldest first. Throws table::store_error.
  support::task<std::vector<document_version>> history(std::string service);

private:
  support::task<edit_result> write(edit_request request);
  support::task<edit_result> find_earlier_edit(edit_request request, document_version current);
  support::task<edit_result> resolve_unknown_outcome(edit_request request);

  table::table_store& store_;
  table::row_cache& rows_;
  support::clock& time_;
};

} // namespace camphorlug::documents
