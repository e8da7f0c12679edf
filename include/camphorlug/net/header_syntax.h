#pragma once

#include <string_view>

namespace camphorlug::net {

/// Whether `name` is a token (RFC 9110, section 5.6.2), as the names of header fields are.
bool is_token(std::string_view name);

/// Whether `value` holds no control character but tabs, and so no CR, LF or NUL.
bool is_field_value(std::string_view value);

/// Whether `text` is not empty and consists of visible ASCII characters.
bool is_visible_ascii(std::string_view text);

/// Whether `text` is `HOST:PORT` with a name, an IPv4 address or an IPv6 address in brackets.
bool is_host_and_port(std::string_view text);

/// Whether `text` is a decimal number, as the values of `Content-Length` are.
bool is_decimal(std::string_view text);

} // namespace camphorlug::net
