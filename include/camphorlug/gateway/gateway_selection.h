#pragma once

#include "camphorlug/gateway/node_status.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Returns the addresses of the gateway nodes that a caller in `data_centre` may use: ready nodes
/// of that data centre, and nodes of others only if there are fewer than `min_count`. If no node
/// accepts requests, falls back to nodes that are not ready, then to nodes that are shutting
/// down, rather than returning none.
std::vector<std::string> select_gateway_addresses(const std::vector<node_status>& nodes,
                                                  const std::string& data_centre,
                                                  std::size_t min_count);

} // namespace camphorlug::gateway
