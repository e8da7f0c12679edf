#pragma once

namespace camphorlug::edge {

/// Path at which a node tells operators what it believes, on its peers' port.
inline constexpr const char* state_path = "/camphorlug/v1/state";

} // namespace camphorlug::edge
