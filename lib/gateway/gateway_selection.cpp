#include "camphorlug/gateway/gateway_selection.h"

namespace camphorlug::gateway {

static std::vector<std::string> addresses_of(const std::vector<node_status>& nodes,
                                             const std::string& data_centre, std::size_t least) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const node_status& node : nodes)
    (node.data_centre == data_centre ? near : far).push_back(node.public_address);
  if (near.size() < least)
    near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<std::string> select_gateway_addresses(const std::vector<node_status>& nodes,
                                                  const std::string& data_centre,
                                                  std::size_t least) {
  std::vector<node_status> taking;
  std::vector<node_status> staying;
  for (const node_status& node : nodes) {
    if (node.ready && !node.leaving)
      taking.push_back(node);
    if (!node.leaving)
      staying.push_back(node);
  }
  if (!taking.empty())
    return addresses_of(taking, data_centre, least);
  return addresses_of(staying.empty() ? nodes : staying, data_centre, least);
}

} // namespace camphorlug::gateway
