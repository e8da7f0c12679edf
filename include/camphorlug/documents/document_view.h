#pragma once

#include "camphorlug/documents/document_version.h"
#include "camphorlug/documents/service_document.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorlug::documents {

/// An active service document and the version that it was parsed from.
struct active_document {
  document_version version;
  service_document document;
};

/// Read access to the documents that are active at this node.
class document_view {
public:
  document_view() = default;
  document_view(const document_view&) = delete;
  document_view& operator=(const document_view&) = delete;
  virtual ~document_view() = default;

  /// Returns the active document of `service`, or null.
  virtual std::shared_ptr<const active_document> find(const std::string& service) const = 0;

  /// Returns all active documents, ordered by service name.
  virtual std::vector<std::shared_ptr<const active_document>> all() const = 0;
};

} // namespace camphorlug::documents
