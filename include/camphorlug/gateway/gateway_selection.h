#pragma once

#include "camphorlug/gateway/node_status.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Addresses that a caller in `data_centre` may use now: the nodes there that
/// take requests, others only when there are fewer than `least`. Falls back
/// on nodes that leave, and on those that are not ready, rather than on none.
std::vector<std::string> select_gateway_addresses(const std::vector<node_status>& nodes,
                                                  const std::string& data_centre,
                                                  std::size_t least);

} // namespace camphorlug::gateway
