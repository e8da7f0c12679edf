#pragma once

#include "camphorlug/net/response_head.h"

#include <string_view>

namespace camphorlug::net {

/// Returns how the end of the body of a response to a request with `method` is marked (RFC 9112,
/// section 6.3).
body_framing framing_of(std::string_view method, const response_head& head);

const char* to_string(body_framing framing);

} // namespace camphorlug::net
