#pragma once

#include "camphorlug/net/header_list.h"

#include <optional>
#include <string>

namespace camphorlug::net {

/// Returns the key of an `Authorization: Bearer KEY` header, or nothing when there is none.
std::optional<std::string> bearer_key(const header_list& headers);

} // namespace camphorlug::net
