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

/// Decides which instances of one service form which groups. It records the orders of the
/// current term; groups from earlier terms are discovered from the entries that the instances
/// publish. A term is the time from one acquisition of the lease to its loss, across all renewals.
/// The planner performs no I/O and never blocks.
///
/// Answers many losses in one moment: the supply of the model that lost groups dips until the
/// members are replaced, and a large group that is closed for it comes back last.
class replica_planner {
public:
  replica_planner(support::clock& time, std::string service)
      : time_(time), service_(std::move(service)), load_limiter_(time) {}

  /// Resets the planner after an acquisition of the lease, whose lease number is `term`. `first`
  /// is false when an earlier planner may have ordered loads just before.
  void begin_term(std::uint64_t term, bool first);

  /// Returns the orders to send now. Each one counts as pending until its result is recorded.
  std::vector<replica_order> plan(const planning_input& input);

  void record_order_result(const replica_order& order, order_result result);

  /// Records whether an instance answered a probe. One that did not is treated as lost until it
  /// answers or restarts.
  void record_probe_result(const std::string& id, bool answers);

  /// Instances that did not answer their last probe.
  std::vector<std::string> unresponsive_instances() const;

  const std::vector<planned_group>& planned_groups() const { return planned_groups_; }

private:
  struct pending_order {
    std::uint64_t epoch = 0;
    support::clock::time_point sent_at;
    /// Whether the order fetches `model` from the weight store.
    bool loads = false;
    std::string model;
  };
  /// The planner's record of an instance, beyond what its entry says.
  struct tracked_instance {
    /// The entry in the input of the current planning pass. Valid only during that pass; null
    /// if the instance has no entry.
    const gateway::registered_target* target = nullptr;
    std::int64_t started_at_ms = 0;
    /// The most recent order of each kind.
    std::map<order_kind, pending_order> pending;
    /// Epochs that the instance has confirmed to have left.
    std::set<std::uint64_t> left_epochs;
    /// The model that the instance holds in memory or was last ordered to load into it.
    std::string last_model;
    /// Whether the instance did not answer its last probe.
    bool unresponsive = false;
    /// Whether the instance is a member of a planned group.
    bool assigned = false;
    /// Whether the instance has accepted an order of this term. It rejects orders of earlier terms
    /// that arrive late since then.
    bool accepted_order = false;
    /// Whether the instance is in a data centre that is evacuated.
    bool evacuated = false;

    const gateway::target_entry& entry() const { return target->entry; }
    /// Whether the instance may be selected for a group or to stage weights.
    bool is_usable() const;
    /// Whether the instance reports no membership or has confirmed to have left that group.
    bool is_ungrouped() const;
    /// The cost of joining a group that runs `model`; see the constants `cost_*`.
    int join_cost(const std::string& model) const;
  };

  /// The free instances of a fabric domain that would form a group of some model. There are no
  /// members if the group should not be formed in that domain.
  struct placement_candidate {
    std::vector<const tracked_instance*> members;
    int cost = 0;
    /// Number of free instances in the domain.
    std::size_t free = 0;
  };
  /// Instances that belong to no group, by fabric domain.
  struct free_instances {
    std::map<std::string, std::vector<const tracked_instance*>> by_domain;
    /// Cached candidates by model and domain. A change of a domain invalidates its candidates.
    std::map<std::string, std::map<std::string, placement_candidate>> candidates_by_model;

    void remove_members(const std::string& domain,
                        const std::vector<const tracked_instance*>& members);
  };
  /// Instance totals, computed once in each planning pass.
  struct pool_counts {
    std::size_t usable = 0;
    /// Weight loads in progress.
    std::size_t loading = 0;
    std::map<std::string, std::size_t> by_domain;
  };

  void refresh_instances(const planning_input& input);
  /// Marks the instances in evacuated data centres. They are not used for groups, as spares or to
  /// stage weights.
  void note_evacuations(const planning_input& input);
  /// Whether a member of the group is in an evacuated data centre.
  bool is_evacuated(const planned_group& group) const;
  /// Closes the groups in evacuated data centres: once those elsewhere suffice, at the latest
  /// after a fixed time, since callers wait for capacity and not the operator for the callers.
  void close_evacuated_groups(const planning_input& input);
  bool may_close_evacuated(const planned_group& group, const planning_input& input) const;
  void count_pool();
  void add_planned_group(planned_group group);
  void release_members(planned_group& group);
  void mark_assigned(const planned_group& group, bool assigned);
  void adopt_existing_groups(const planning_input& input);
  void check_members(planned_group& group);
  void advance_phase(planned_group& group, const planning_input& input,
                     std::vector<replica_order>& orders);
  void advance_closing(planned_group& group, const gateway::registered_target* head,
                       std::vector<replica_order>& orders);
  void advance_forming(planned_group& group, const planning_input& input,
                       std::vector<replica_order>& orders);
  bool reject_earlier_terms(const planned_group& group, std::vector<replica_order>& orders);
  void advance_dissolving(planned_group& group, std::vector<replica_order>& orders);
  void release_orphans(std::vector<replica_order>& orders);
  void form_missing_groups(const planning_input& input, std::vector<replica_order>& orders);
  /// Returns whether the model has been supplied so much worse than others for long enough.
  bool gap_persists(bool gap_is_open, const std::string& worst_supplied);
  void reclaim_groups(const gateway::model_profile& best_supplied,
                      const gateway::model_profile& worst_supplied, std::size_t max_groups);
  bool form_group(const planning_input& input, const gateway::model_profile& model,
                  free_instances& free, std::vector<replica_order>& orders);
  placement_candidate make_placement_candidate(std::vector<const tracked_instance*> free,
                                               const gateway::model_profile& model) const;
  const placement_candidate* best_placement_candidate(free_instances& free,
                                                      const gateway::model_profile& model) const;
  planned_group make_planned_group(const gateway::model_profile& model,
                                   const std::vector<const tracked_instance*>& members);
  void order_joins(const planned_group& group, const std::vector<const tracked_instance*>& members,
                   const std::string& reason, std::vector<replica_order>& orders);
  void warm_spares(const planning_input& input, std::vector<replica_order>& orders);
  void stage_models(const planning_input& input, std::vector<replica_order>& orders);

  free_instances free_by_domain() const;
  std::size_t wanted_groups(const planning_input& input, const gateway::model_profile& model) const;
  std::map<std::string, std::size_t> live_groups() const;
  std::size_t reserved_instances(const std::string& domain) const;
  const gateway::model_profile* model_to_stage(const tracked_instance& instance,
                                               const planning_input& input) const;
  std::size_t loads_in_progress() const;
  bool is_load_in_progress(const pending_order& pending) const;
  bool is_loading(const tracked_instance& instance) const;
  double planned_instances(const planning_input& input) const;
  double planned_utilisation(const planning_input& input) const;
  bool may_order(const std::string& id, order_kind kind, std::uint64_t epoch);
  bool is_unresponsive(const std::string& id) const;
  /// Returns whether another weight load may start now. Once traffic has started, a permitted
  /// load takes one from the rate limiter; `add_order` counts it as in progress.
  bool try_reserve_load(const planning_input& input);
  void add_order(std::vector<replica_order>& orders, replica_order new_order);
  void enter_phase(planned_group& group, group_phase phase, const std::string& reason);
  const gateway::registered_target* find_registered_target(const std::string& id) const;

  support::clock& time_;
  std::string service_;
  load_limiter load_limiter_;
  std::uint64_t next_fence_ = 0;
  std::uint64_t next_epoch_ = 0;
  support::clock::time_point term_began_at_;
  support::clock::time_point last_reclaim_at_;
  /// The model that is supplied much worse than others, and since when; empty if there is none.
  std::string gap_model_;
  support::clock::time_point gap_since_;
  bool first_term_ = true;
  bool existing_groups_adopted_ = false;
  std::size_t max_listed_instances_ = 0;
  std::vector<planned_group> planned_groups_;
  /// Since when this planner knows of the evacuation of each data centre.
  std::map<std::string, support::clock::time_point> evacuated_since_;
  pool_counts counts_;
  std::unordered_map<std::string, tracked_instance> instances_by_id_;
  /// Instances of the service in the input of the current planning pass, ordered by id.
  std::vector<tracked_instance*> listed_instances_;
};

} // namespace camphorlug::replicas
