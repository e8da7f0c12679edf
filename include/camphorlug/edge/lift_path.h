#pragma once

namespace camphorlug::edge {

/// Path on the port for peers at which an operator ends the ban of a prompt part: POST with the
/// query parameters `service` and `part`.
inline constexpr const char* lift_path = "/camphorlug/v1/crashes/lift";

} // namespace camphorlug::edge
