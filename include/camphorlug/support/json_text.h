#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace camphorlug::support {

/// Serializes a value that may hold bytes of callers or targets: those that are no UTF-8 become
/// U+FFFD, where nlohmann's own default throws.
template<class Json>
std::string to_json_text(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace camphorlug::support
