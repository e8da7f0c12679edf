#pragma once

#include "camphorlug/documents/model_spec.h"
#include "camphorlug/groups/placement_policy.h"

#include "replay/replay_event.h"
#include "replay/trace_generator.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace camphorlug::replay {

/// Durations of the simulated operations.
struct replay_timings {
  std::chrono::milliseconds detection{1500};
  std::chrono::milliseconds load{60'000};
  std::chrono::milliseconds join{1000};
  std::chrono::milliseconds drain{10'000};
  /// Time that a member must be silent before it is replaced.
  std::chrono::milliseconds replacement_wait{15'000};
};

/// The two measures over a whole trace, group downtime and stranded instances. Measuring
/// starts once the initial pool satisfies the document.
struct replay_result {
  double group_downtime_s = 0;
  double stranded_instance_s = 0;
  /// Lower bound for any planner: leaving instances, and those left over when a domain is
  /// divided into whole groups. Load times add to it, depending on the trace.
  double unavoidable_stranded_s = 0;
  std::size_t loads = 0;
  std::size_t steps = 0;
};

/// Replays a trace against a placement policy: simulates the policy's steps with the given
/// timings and accumulates the two measures.
class pool_replay {
public:
  pool_replay(const groups::placement_policy& policy, documents::model_spec spec, pool_shape shape,
              replay_timings timings);

  replay_result run(const std::vector<replay_event>& events);

private:
  using time = std::chrono::milliseconds;

  struct instance {
    std::string fabric_domain;
    bool listed = true;
    bool leaving = false;
    time silent_since{-1};
    time silent_until{-1};
    std::string group;
    std::string shard_version;
    std::size_t shard_rank = 0;
    /// Incremented with every load request, so that a superseded load has no effect.
    std::size_t generation = 0;
    bool loading = false;
  };

  struct group {
    groups::group_record record;
    time drained_at{0};
    time serves_at{-1};
  };

  /// A shard load that is queued until fewer than `concurrent_loads` run.
  struct pending_load {
    std::string instance;
    std::size_t generation = 0;
    std::string version;
    std::size_t rank = 0;
  };

  enum class scheduled_event_kind { plan, loaded, resumed };
  struct scheduled_event {
    time at{0};
    scheduled_event_kind kind = scheduled_event_kind::plan;
    std::string instance;
    std::size_t generation = 0;
    std::string version;
    std::size_t rank = 0;
    bool operator>(const scheduled_event& other) const { return at > other.at; }
  };

  void advance_to(time moment);
  void integrate(time until);
  void update_counts();
  void apply(const replay_event& event);
  void remove_instance(const std::string& id);
  void plan();
  void apply_step(const groups::placement_step& step);
  void assign_member(group& target, std::size_t rank, const std::string& id);
  void request_member_loads(group& target);
  void request_load(const std::string& id, const std::string& version, std::size_t rank);
  void start_loads();
  void process(const scheduled_event& event);
  void update_serving();
  bool is_present(const std::string& id) const;
  bool can_serve(const group& candidate) const;
  bool has_shard(const std::string& id, const std::string& version, std::size_t rank) const;
  groups::pool_state observe() const;
  void schedule_plan(time delay);

  const groups::placement_policy& policy_;
  documents::model_spec spec_;
  replay_timings timings_;
  time now_{0};
  bool measuring_ = false;
  /// False when the pool changed after the counts were computed.
  bool counts_valid_ = false;
  std::size_t serving_count_ = 0;
  std::size_t live_count_ = 0;
  /// Number of whole groups that the usable instances of each domain could form.
  std::map<std::string, std::size_t> possible_groups_;
  std::map<std::string, instance> instances_;
  std::map<std::string, group> groups_;
  std::deque<pending_load> pending_loads_;
  std::size_t running_loads_ = 0;
  std::size_t next_group_ = 0;
  std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>>
      scheduled_events_;
  time planned_for_{-1};
  replay_result result_;
};

} // namespace camphorlug::replay
