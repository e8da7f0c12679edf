#include "camphorlug/gateway/fleet_roles.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace camphorlug::gateway {

static bool is_more_suitable(const node_status* left, const node_status* right) {
  return std::make_tuple(left->leaving, -left->cores, routing::rendezvous_hash(left->id),
                         left->id) < std::make_tuple(right->leaving, -right->cores,
                                                     routing::rendezvous_hash(right->id),
                                                     right->id);
}

static std::vector<const node_status*> choose_hubs(const std::vector<const node_status*>& members) {
  if (fleet_roles::is_full_mesh(members.size()))
    return members;
  std::map<std::string, std::vector<const node_status*>> data_centres;
  for (const node_status* each : members)
    data_centres[each->data_centre].push_back(each);
  std::vector<const node_status*> hubs;
  for (auto& [name, nodes] : data_centres) {
    std::sort(nodes.begin(), nodes.end(), is_more_suitable);
    const std::size_t wanted =
        std::max((nodes.size() + fleet_roles::nodes_per_hub - 1) / fleet_roles::nodes_per_hub,
                 fleet_roles::min_hubs_per_data_centre);
    nodes.resize(std::min(nodes.size(), wanted));
    hubs.insert(hubs.end(), nodes.begin(), nodes.end());
  }
  return hubs;
}

/// Orders the hubs by what shows that they reach the store: an answer, no call or a failed one.
/// That a node has no failed call says little, since nodes without a duty make none.
static void sort_by_store_evidence(std::vector<const node_status*>& hubs) {
  const auto rank = [](const node_status* each) {
    return each->shows_store ? 0 : each->reaches_store ? 1 : 2;
  };
  std::stable_sort(
      hubs.begin(), hubs.end(),
      [&](const node_status* left, const node_status* right) { return rank(left) < rank(right); });
}

/// `hubs` are in the order in which they should read.
static std::vector<std::string> choose_readers(std::vector<const node_status*> hubs) {
  std::vector<std::string> readers;
  if (hubs.empty())
    return readers;
  const auto elsewhere = std::find_if(hubs.begin(), hubs.end(), [&](const node_status* each) {
    return each->data_centre != hubs.front()->data_centre &&
           each->shows_store == hubs.front()->shows_store &&
           each->reaches_store == hubs.front()->reaches_store;
  });
  if (elsewhere != hubs.end())
    std::rotate(hubs.begin() + 1, elsewhere, elsewhere + 1);
  hubs.resize(std::min(hubs.size(), fleet_roles::reader_count));
  for (const node_status* each : hubs)
    readers.push_back(each->id);
  return readers;
}

fleet_roles assign_roles(const std::vector<const node_status*>& members) {
  std::vector<const node_status*> hubs = choose_hubs(members);
  std::sort(hubs.begin(), hubs.end(), is_more_suitable);
  fleet_roles roles;
  for (const node_status* each : hubs)
    roles.hubs.push_back(*each);
  sort_by_store_evidence(hubs);
  for (const node_status* each : hubs) {
    if (roles.planners.size() < fleet_roles::planner_count)
      roles.planners.push_back(each->id);
  }
  roles.readers = choose_readers(std::move(hubs));
  return roles;
}

std::vector<node_status> hub_preference(const fleet_roles& roles, const std::string& id,
                                        const std::string& data_centre) {
  std::vector<node_status> hubs = roles.hubs;
  const auto rank = [&](const node_status& hub) {
    return std::make_tuple(
        hub.leaving, hub.data_centre != data_centre,
        routing::rendezvous_weight(routing::rendezvous_hash(id), routing::rendezvous_hash(hub.id)));
  };
  std::sort(hubs.begin(), hubs.end(), [&](const node_status& left, const node_status& right) {
    return rank(left) < rank(right);
  });
  return hubs;
}

bool fleet_roles::is_hub(const std::string& id) const {
  return std::any_of(hubs.begin(), hubs.end(),
                     [&](const node_status& each) { return each.id == id; });
}

bool fleet_roles::is_reader(const std::string& id) const {
  return std::find(readers.begin(), readers.end(), id) != readers.end();
}

bool fleet_roles::is_planner(const std::string& id) const {
  return std::find(planners.begin(), planners.end(), id) != planners.end();
}

} // namespace camphorlug::gateway
