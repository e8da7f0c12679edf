#pragma once

#include "camphorlug/documents/service_document.h"
#include "camphorlug/support/config_error.h"

#include <optional>
#include <string_view>

namespace camphorlug::documents {

/// Reads a service document and checks it whole. Returns nothing if there is
/// any fault, and adds each one to `errors`.
std::optional<service_document> parse_document(std::string_view text,
                                               support::config_errors& errors);

} // namespace camphorlug::documents
