#pragma once

namespace camphorlug::edge {

/// Path of the state report for operators, on the port for peers.
inline constexpr const char* state_path = "/camphorlug/v1/state";

} // namespace camphorlug::edge
