#pragma once

#include <string>
#include <string_view>

namespace camphorlug::net {

/// Encodes arbitrary bytes as a value in a query or as a path segment (RFC 3986, section 2): all
/// bytes but the unreserved ones become `%XX`.
std::string percent_encode(std::string_view bytes);

/// Reverses `percent_encode`. A `%` without two hexadecimal digits stands for itself.
std::string percent_decode(std::string_view text);

} // namespace camphorlug::net
