#pragma once

#include "camphorlug/gateway/engine_profile.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/replicas/load_limiter.h"
#include "camphorlug/replicas/order_result.h"
#include "camphorlug/replicas/planned_group.h"
#include "camphorlug/replicas/planning_input.h"
#include "camphorlug/replicas/replica_order.h"
#include "camphorlug/support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorlug::replicas {

/// Decides which instances of one service form which groups. It keeps what it
/// ordered during one holding of the lease; what existed before, it learns from
/// what the instances say of themselves. Nothing here waits or sends.
class replica_planner {
public:
  replica_planner(support::clock& time, std::string service)
      : time_(time), service_(std::move(service)), loads_(time) {}

  /// Starts anew under the number of another holding of the lease. `first` is false when an earlier
  /// planner may have ordered loads a moment ago.
  void begin_term(std::uint64_t term, bool first);

  /// The orders to send now. Each counts as sent until its result is taken.
  std::vector<replica_order> plan(const planning_input& view);

  void record_order_result(const replica_order& order, order_result result);

  /// Whether an instance answers, as far as it was asked. One that does not is
  /// taken for lost until it answers or starts again.
  void record_probe_result(const std::string& id, bool answers);

  /// Instances that were asked and did not answer.
  std::vector<std::string> silent() const;

  const std::vector<planned_group>& planned_groups() const { return planned_groups_; }

private:
  struct pending_order {
    std::uint64_t epoch = 0;
    support::clock::time_point sent_at;
    /// It fetches `model` from the weight store.
    bool loads = false;
    std::string model;
  };
  /// An instance with what is known of it beyond its entry.
  struct tracked_instance {
    /// Its entry in the present view; null outside of a plan.
    const gateway::registered_target* target = nullptr;
    std::int64_t started_at_ms = 0;
    /// The newest order of each kind.
    std::map<order_kind, pending_order> pending;
    /// Epochs that it confirmed to have left.
    std::set<std::uint64_t> left;
    std::string last_model;
    bool silent = false;
    /// A formation has it.
    bool assigned = false;

    const gateway::target_entry& entry() const { return target->entry; }
    /// Whether it may be chosen for a group or for weights.
    bool is_usable() const;
    /// Whether it is in no group, as far as it confirmed that.
    bool is_ungrouped() const;
    /// What a join of a group of `model` costs it.
    int join_cost(const std::string& model) const;
  };

  /// The members that the free instances of a fabric domain give a group of some
  /// model; none when it should not form there.
  struct placement_candidate {
    std::vector<const tracked_instance*> members;
    int cost = 0;
    std::size_t free = 0;
  };
  /// Entries that no group has, by fabric domain.
  struct free_instances {
    std::map<std::string, std::vector<const tracked_instance*>> by_domain;
    /// By model and domain, worked out once for each change of a domain.
    std::map<std::string, std::map<std::string, placement_candidate>> placements;

    void take(const std::string& domain, const std::vector<const tracked_instance*>& members);
  };
  /// What the whole of the instances comes to; counted once for each plan.
  struct pool_counts {
    std::size_t usable = 0;
    std::size_t loading = 0;
    std::map<std::string, std::size_t> by_domain;
  };

  void refresh_instances(const planning_input& view);
  void count_pool();
  void add_planned_group(planned_group group);
  void release_members(planned_group& group);
  void mark_assigned(const planned_group& group, bool assigned);
  void adopt(const planning_input& view);
  void observe(planned_group& group);
  void advance(planned_group& group, const planning_input& view,
               std::vector<replica_order>& orders);
  void advance_closing(planned_group& group, const gateway::registered_target* head,
                       std::vector<replica_order>& orders);
  void advance_forming(planned_group& group, const planning_input& view,
                       std::vector<replica_order>& orders);
  void dissolve(planned_group& group, std::vector<replica_order>& orders);
  void release_orphans(std::vector<replica_order>& orders);
  void form_missing_groups(const planning_input& view, std::vector<replica_order>& orders);
  void reclaim_group(const gateway::model_profile& best_supplied,
                     const gateway::model_profile& worst_supplied);
  bool form_group(const planning_input& view, const gateway::model_profile& model,
                  free_instances& free, std::vector<replica_order>& orders);
  placement_candidate make_placement_candidate(std::vector<const tracked_instance*> free,
                                               const gateway::model_profile& model) const;
  const placement_candidate* best_placement_candidate(free_instances& free,
                                                      const gateway::model_profile& model) const;
  planned_group make_planned_group(const gateway::model_profile& model,
                                   const std::vector<const tracked_instance*>& members);
  void order_joins(const planned_group& group, const std::vector<const tracked_instance*>& members,
                   const std::string& reason, std::vector<replica_order>& orders);
  void warm_spares(const planning_input& view, std::vector<replica_order>& orders);
  void stage_models(const planning_input& view, std::vector<replica_order>& orders);

  free_instances free_by_domain() const;
  std::size_t wanted_groups(const planning_input& view, const gateway::model_profile& model) const;
  std::map<std::string, std::size_t> live_groups() const;
  std::size_t reserved_instances(const std::string& domain) const;
  const gateway::model_profile* model_to_stage(const tracked_instance& instance,
                                               const planning_input& view) const;
  std::size_t loads_in_progress() const;
  bool loads(const pending_order& pending) const;
  bool is_loading(const tracked_instance& instance) const;
  double planned_instances(const planning_input& view) const;
  double planned_utilisation(const planning_input& view) const;
  bool may_order(const std::string& id, order_kind kind, std::uint64_t epoch);
  bool is_unresponsive(const std::string& id) const;
  bool try_reserve_load(const planning_input& view);
  void order(std::vector<replica_order>& orders, replica_order wanted);
  void enter(planned_group& group, group_phase phase, const std::string& reason);
  const gateway::registered_target* find_registered_target(const std::string& id) const;

  support::clock& time_;
  std::string service_;
  load_limiter loads_;
  std::uint64_t next_fence_ = 0;
  std::uint64_t next_epoch_ = 0;
  support::clock::time_point term_began_at_;
  support::clock::time_point last_reclaim_at_;
  bool first_term_ = true;
  bool existing_groups_adopted_ = false;
  std::size_t max_listed_instances_ = 0;
  std::vector<planned_group> planned_groups_;
  pool_counts counts_;
  std::unordered_map<std::string, tracked_instance> instances_by_id_;
  /// Those of the present view, by id.
  std::vector<tracked_instance*> listed_instances_;
};

} // namespace camphorlug::replicas
