#pragma once

#include "camphorlug/documents/document_version.h"
#include "camphorlug/documents/service_document.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// A service document together with the version that it came from.
struct active_document {
  document_version version;
  service_document document;
};

/// Which documents are in force at this node.
class document_view {
public:
  document_view() = default;
  document_view(const document_view&) = delete;
  document_view& operator=(const document_view&) = delete;
  virtual ~document_view() = default;

  /// The document of `service`, or null.
  virtual std::shared_ptr<const active_document> find(const std::string& service) const = 0;

  /// All documents in the order of their services' names.
  virtual std::vector<std::shared_ptr<const active_document>> all() const = 0;
};

} // namespace camphorlug::documents
