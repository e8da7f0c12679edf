#pragma once

#include "camphorlug/gateway/node_status.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Duties of nodes beside serving callers. Each node derives them from the list of live nodes
/// alone, so that nodes with the same list agree without a message or the store.
struct fleet_roles {
  /// Up to this many nodes all are hubs: a full mesh is then cheap, and its state is the newest.
  static constexpr std::size_t max_mesh_size = 12;
  /// Nodes of a data centre for each of its hubs. A hub answers each of them several times a
  /// second, at about 0.25 ms of processor time.
  static constexpr std::size_t nodes_per_hub = 32;
  /// Two, so that the loss of one hub leaves the data centre with another one.
  static constexpr std::size_t min_hubs_per_data_centre = 2;
  /// Two in different data centres, so that a lost reader delays no change of a table.
  static constexpr std::size_t reader_count = 2;
  static constexpr std::size_t planner_count = 3;

  /// Nodes that relay state between the other nodes. By descending suitability, which puts nodes
  /// with more processor share first.
  std::vector<node_status> hubs;
  /// Ids of the hubs that read the tables of the store and relay them.
  std::vector<std::string> readers;
  /// Ids of the hubs that compete for the planner lease.
  std::vector<std::string> planners;

  /// Whether all of `nodes` live nodes are hubs and exchange their state directly.
  static constexpr bool is_full_mesh(std::size_t nodes) { return nodes <= max_mesh_size; }

  bool is_hub(const std::string& id) const;
  bool is_reader(const std::string& id) const;
  bool is_planner(const std::string& id) const;
};

/// Assigns the duties among `members`, all live nodes. Leaving nodes get none while others are
/// left. Hubs that the store answered lately read and plan before those that made no call, and
/// those before hubs that it did not answer.
fleet_roles assign_roles(const std::vector<const node_status*>& members);

/// Returns the hubs in the order in which the node `id` of `data_centre` should try to attach
/// itself: those of its own data centre first, nodes spread over them.
std::vector<node_status> hub_preference(const fleet_roles& roles, const std::string& id,
                                        const std::string& data_centre);

} // namespace camphorlug::gateway
