#pragma once

#include "camphorlug/documents/document_view.h"
#include "camphorlug/groups/lease.h"
#include "camphorlug/groups/live_groups.h"
#include "camphorlug/groups/order_sender.h"
#include "camphorlug/groups/placement_policy.h"
#include "camphorlug/groups/planner_status.h"
#include "camphorlug/groups/pool_table.h"

#include <asio/any_io_executor.hpp>
#include <map>
#include <string>

namespace camphorlug::groups {

/// Dependencies of a group planner. Referenced objects must outlive it.
struct planner_context {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  table::table_store& store;
  table::row_cache& rows;
  const documents::document_view& documents;
  const watching::instance_directory& directory;
  const watching::observation_cache& observations;
  targets::target_client& targets;
  live_groups& groups;
  lease& pool_lease;
  const placement_policy& policy;
};

/// Forms, repairs and updates the replica groups of one service's pool while
/// this node holds the pool's lease.
class group_planner {
public:
  group_planner(planner_context context, std::string service, std::string pool);

  /// Runs planning passes while this node holds the lease and tries to acquire
  /// it otherwise, until the clock is shut down.
  support::task<> run();

  /// Renews the lease periodically while this node holds it, until the clock is
  /// shut down.
  support::task<> keep_lease();

  /// Releases the lease and stops trying to acquire it. Called before this node
  /// shuts down.
  support::task<> step_down();

  const planner_status& status() const { return status_; }

private:
  support::task<> try_acquire_lease();
  support::task<> plan_as_leader();
  support::task<> plan_and_write_steps(const documents::model_spec& spec);
  support::task<> mark_ready_groups_serving();
  pool_state snapshot_pool(const documents::model_spec& spec);
  pool_instance snapshot_instance(const table::listed_instance& listed);
  pool_group snapshot_group(const cached_group_row& cached);
  instance_condition condition_of(const table::listed_instance& listed);
  bool has_drained(const group_record& record);
  bool all_ready(const group_record& record) const;
  bool sees_half_of_members() const;
  std::chrono::nanoseconds replacement_wait() const;
  void update_status(const documents::model_spec& spec);

  planner_context context_;
  std::string service_;
  std::string pool_;
  pool_table table_;
  order_sender orders_;
  planner_status status_;
  support::clock::time_point leader_since_;
  support::clock::time_point status_updated_at_;
  support::clock::time_point last_acquire_attempt_;
  /// Time since which each unroutable group has been unroutable, by group id.
  std::map<std::string, support::clock::time_point> unroutable_since_;
  bool stepping_down_ = false;
  /// False while more than half of the members are silent, which points at this
  /// node's own connectivity.
  bool treat_silence_as_loss_ = true;
};

} // namespace camphorlug::groups
