#pragma once

#include "camphorlug/documents/service_document.h"
#include "camphorlug/support/config_error.h"

#include <optional>
#include <string_view>

namespace camphorlug::documents {

/// Parses and validates a service document. Reports all errors, not only the first,
/// in `errors`, and returns nullopt if there are any.
std::optional<service_document> parse_document(std::string_view text,
                                               support::config_errors& errors);

} // namespace camphorlug::documents
