#pragma once

#include "camphorlug/documents/document_view.h"
#include "camphorlug/table/row_cache.h"

#include <functional>
#include <map>
#include <string>

namespace camphorlug::documents {

/// Key prefix of the rows that hold the newest version of each service document.
inline constexpr const char* document_prefix = "document/";

/// Parses the service documents in the row cache. A row that cannot be parsed is
/// logged, and the previous version stays active.
class document_cache final : public document_view {
public:
  explicit document_cache(table::row_cache& rows);

  std::shared_ptr<const active_document> find(const std::string& service) const override;
  std::vector<std::shared_ptr<const active_document>> all() const override;

  /// Calls `on_change` with each document that becomes active from now on.
  void add_listener(std::function<void(const active_document&)> on_change);

private:
  void apply_row(const table::row& changed);

  std::map<std::string, std::shared_ptr<const active_document>> documents_;
  std::vector<std::function<void(const active_document&)>> listeners_;
};

} // namespace camphorlug::documents
