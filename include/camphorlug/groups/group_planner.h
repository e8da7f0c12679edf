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

/// All that a planner works with; everything must outlive it.
struct planner_context {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  table::table_store& store;
  table::row_cache& rows;
  const documents::document_view& documents;
  const watching::instance_directory& directory;
  const watching::observation_cache& board;
  targets::target_client& targets;
  live_groups& groups;
  lease& holding;
  const placement_policy& policy;
};

/// Forms, repairs and rolls the replica groups of one service's pool while it
/// holds the pool's lease.
class group_planner {
public:
  group_planner(planner_context context, std::string service, std::string pool);

  /// Runs until the clock is shut down.
  support::task<> run();

  /// Renews the lease while it is held, until the clock is shut down.
  support::task<> keep_lease();

  /// Gives the lease up before this node leaves.
  support::task<> step_down();

  const planner_status& status() const { return status_; }

private:
  support::task<> follow();
  support::task<> lead();
  support::task<> write_steps(const documents::model_spec& spec);
  support::task<> confirm_serving();
  pool_state observe(const documents::model_spec& spec);
  pool_instance observe_instance(const table::listed_instance& listed);
  pool_group observe_group(const held_group& held);
  instance_condition condition_of(const table::listed_instance& listed);
  bool has_drained(const group_record& record);
  bool all_ready(const group_record& record) const;
  bool sees_most_members() const;
  std::chrono::nanoseconds replacement_wait() const;
  void measure(const documents::model_spec& spec);

  planner_context context_;
  std::string service_;
  std::string pool_;
  pool_table table_;
  order_sender orders_;
  planner_status status_;
  support::clock::time_point led_since_;
  support::clock::time_point measured_at_;
  support::clock::time_point asked_lease_at_;
  std::map<std::string, support::clock::time_point> quiet_since_;
  bool stepping_down_ = false;
  bool silence_counts_ = true;
};

} // namespace camphorlug::groups
