#include "camphorlug/gateway/gateway_selection.h"

namespace camphorlug::gateway {

static std::vector<std::string> addresses_of(const std::vector<node_status>& nodes,
                                             const std::string& data_centre,
                                             std::size_t min_count) {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const node_status& node : nodes)
    (node.data_centre == data_centre ? local : remote).push_back(node.public_address);
  if (local.size() < min_count)
    local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

std::vector<std::string> select_gateway_addresses(const std::vector<node_status>& nodes,
                                                  const std::string& data_centre,
                                                  std::size_t min_count) {
  std::vector<node_status> reaching;
  std::vector<node_status> accepting;
  std::vector<node_status> not_leaving;
  for (const node_status& node : nodes) {
    if (node.ready && !node.leaving && node.reaches_targets)
      reaching.push_back(node);
    if (node.ready && !node.leaving)
      accepting.push_back(node);
    if (!node.leaving)
      not_leaving.push_back(node);
  }
  if (!reaching.empty())
    return addresses_of(reaching, data_centre, min_count);
  if (!accepting.empty())
    return addresses_of(accepting, data_centre, min_count);
  return addresses_of(not_leaving.empty() ? nodes : not_leaving, data_centre, min_count);
}

} // namespace camphorlug::gateway
