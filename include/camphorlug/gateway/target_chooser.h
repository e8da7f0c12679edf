#pragma once

#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/chosen_target.h"
#include "camphorlug/gateway/cold_targets.h"
#include "camphorlug/gateway/evacuation_list.h"
#include "camphorlug/gateway/group_directory.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/gateway/target_limits.h"
#include "camphorlug/gateway/target_pauses.h"
#include "camphorlug/gateway/target_pool.h"
#include "camphorlug/support/random_source.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Selects the target of a request: the one with the lowest load over all nodes. Targets of the
/// local data centre are preferred when loads are similar, targets that failed this request before
/// are excluded, suspected targets are used only as a last resort, and never those that pause,
/// whose limit, or bound while they are cold, leaves nothing to this node or whose data centre is
/// closed. A group is in the data centres of all its members: it cannot work without those that are
/// about to go.
///
/// With many nodes, the sums of loads are older than the time between two choices of the fleet. If
/// each node took the target with the lowest load, they would all take the same one. Then, and in
/// a large pool, only a few random targets are compared; all targets are scanned only when none of
/// the samples has a free slot.
class target_chooser {
public:
  target_chooser(const target_registry& registry, group_directory& groups, load_tracker& loads,
                 const suspicion_list& suspicions, const target_pauses& pauses,
                 const target_limits& limits, evacuation_list& evacuations,
                 support::random_source& random, std::string data_centre)
      : registry_(registry), groups_(groups), loads_(loads), suspicions_(suspicions),
        pauses_(pauses), limits_(limits), evacuations_(evacuations), random_(random),
        data_centre_(std::move(data_centre)) {}

  /// Sets the regions of data centres, by which the homes of requests are judged.
  void set_regions(region_map regions) {
    regions_ = std::move(regions);
    views_.clear();
  }

  /// Sets the number of nodes that choose among the same targets.
  void set_node_count(std::size_t nodes) { node_count_ = nodes; }

  /// Bounds what cold targets of the services get for which `config` gives a rate.
  void set_cold_targets(cold_targets* cold, const active_config* config) {
    cold_ = cold;
    config_ = config;
  }

  /// A target of a pool with what its choice depends on.
  struct candidate {
    chosen_target target;
    std::string data_centre;
    bool is_local = false;
    bool warming_up = false;
    cold_state cold;
  };

  /// Returns nothing if no target of the pool outside `avoided` has a free slot.
  std::optional<chosen_target> choose(const target_pool& pool,
                                      const std::set<std::string>& avoided);

  /// The targets of the pool that accept requests and are neither suspected nor paused.
  std::vector<candidate> usable(const target_pool& pool);
  /// Ids of all targets of the pool.
  std::vector<std::string> ids(const target_pool& pool);
  /// The target of the pool with that id if it accepts requests of this node now.
  std::optional<chosen_target> find_usable(const target_pool& pool, const std::string& id);

  /// Counts a request that this node sends by its own choice to a target of the pool.
  void count(const target_pool& pool, const std::string& id);
  /// See cold_targets::scheduler_rate.
  std::optional<double> scheduler_rate(const candidate& each) const {
    return cold_ ? cold_->scheduler_rate(each.cold) : std::nullopt;
  }

  /// Whether a target that was chosen earlier still accepts requests.
  bool accepts_requests(const chosen_target& chosen) const;
  /// If each target of the pool outside `avoided` pauses or its limit leaves nothing to this node
  /// now, and that is so for any target at all: the time at which the first of them takes a
  /// request; the maximum if all targets are in `avoided`.
  std::optional<support::clock::time_point> paused_until(const target_pool& pool,
                                                         const std::set<std::string>& avoided);
  /// The same if a scheduler assigns the targets, which divides the bound of cold ones itself.
  std::optional<support::clock::time_point> refused_until(const target_pool& pool,
                                                          const std::set<std::string>& avoided);
  /// Whether a target outside `avoided` has a free slot and is cold, so that it gets only a part
  /// of what it has room for.
  bool withholds_cold(const target_pool& pool, const std::set<std::string>& avoided);
  /// Total slots of the targets of the pool that accept requests.
  std::size_t slots(const target_pool& pool);
  /// Whether any target of the pool has a free slot.
  bool has_free_slot(const target_pool& pool);
  /// Whether a target that is neither in `avoided` nor suspected has a free slot.
  bool has_unsuspected_slot(const target_pool& pool, const std::set<std::string>& avoided);

  /// Share of the pool's slots that are free at targets that are neither suspected nor paused; an
  /// estimate from random targets in a large pool.
  double free_share(const target_pool& pool);
  /// Targets of the pool that have started lately and tolerate less than others.
  std::set<std::string> cold_ids(const target_pool& pool);
  bool is_any_data_centre_evacuated() const { return !evacuations_.evacuated().empty(); }

private:
  /// Cached targets of a pool, valid while neither entries nor groups nor evacuations change.
  struct pool_view {
    std::uint64_t revision = 0;
    std::uint64_t evacuation_revision = 0;
    /// Targets of the local data centre come first.
    std::vector<candidate> candidates;
    std::size_t local_count = 0;
    std::size_t slots = 0;
  };
  /// Best candidate so far.
  struct selection {
    const candidate* best = nullptr;
    double cost = 0;
  };

  const pool_view& view_of(const target_pool& pool);
  std::vector<candidate> candidates(const target_pool& pool);
  /// Whether requests of the pool may go to the data centre.
  bool is_usable(const target_pool& pool, const std::string& data_centre) const {
    return !evacuations_.is_closed(data_centre) && pool.homes.allows(data_centre, regions_);
  }
  bool has_unusable_member(const target_pool& pool, const serving_group& group) const;
  bool has_free_slot(const candidate& each) {
    return loads_.in_flight(each.target.id) < each.target.slots;
  }
  /// When the target takes a further request that a scheduler assigns, if it does not now.
  std::optional<support::clock::time_point> refused_until(const candidate& each) const {
    return std::max(pauses_.end(each.target.id, each.target.started_at_ms),
                    limits_.next_at(each.target.id, each.target.started_at_ms));
  }
  /// When the target takes a further request of this node, if it does not now.
  std::optional<support::clock::time_point> paused_until(const candidate& each) const {
    const auto refused = refused_until(each);
    return cold_ ? std::max(refused, cold_->next_at(each.target.id, each.cold)) : refused;
  }
  bool paused(const candidate& each) const { return paused_until(each).has_value(); }
  bool any_cold(const target_pool& pool);
  /// The earliest end of what `end_of` returns for the targets, as `paused_until` tells it.
  template<class end_function>
  std::optional<support::clock::time_point> earliest_end(const target_pool& pool,
                                                         const std::set<std::string>& avoided,
                                                         const end_function& end_of);
  double cost(const candidate& each);
  void update_selection(const candidate& each, const std::set<std::string>& avoided,
                        bool with_suspects, selection& chosen);
  /// Whether a target outside `avoided` is neither suspected nor paused, with or without a free
  /// slot.
  bool has_unsuspected(const pool_view& view, const std::set<std::string>& avoided);
  /// Compares a few random candidates without suspected ones.
  selection sample(const pool_view& view, const std::set<std::string>& avoided);
  const candidate& random_candidate(const pool_view& view, bool local_only);

  const target_registry& registry_;
  group_directory& groups_;
  load_tracker& loads_;
  const suspicion_list& suspicions_;
  const target_pauses& pauses_;
  const target_limits& limits_;
  evacuation_list& evacuations_;
  support::random_source& random_;
  std::string data_centre_;
  region_map regions_;
  std::size_t node_count_ = 1;
  cold_targets* cold_ = nullptr;
  const active_config* config_ = nullptr;
  std::map<target_pool, pool_view> views_;
};

} // namespace camphorlug::gateway
