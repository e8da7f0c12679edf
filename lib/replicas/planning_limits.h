#pragma once

#include "camphorlug/replicas/replica_planner.h"

#include <chrono>
#include <cstdint>
#include <string>

/// Limits and helpers that the parts of the planner share.
namespace camphorlug::replicas::planning {

/// Epochs and orders of one holding of the lease; the numbers of the next one are all larger.
inline constexpr std::uint64_t numbers_per_term = 1'000'000;
/// An order without visible effect is given again after this.
inline constexpr std::chrono::milliseconds order_retry_interval{1200};
/// A group whose head does not open in this time is given up.
inline constexpr std::chrono::milliseconds opening_timeout{8000};
/// The same for a group that does not become ready; loads slow each other down.
inline constexpr std::chrono::milliseconds load_timeout{40'000};
/// How long a head may finish its requests once a member drains.
inline constexpr std::chrono::milliseconds closing_timeout{9000};
/// The same when a member's entry is gone: one that leaves quietly works on for
/// two seconds or more, and one that is dead shows by its group's stall.
inline constexpr std::chrono::milliseconds unlisted_member_closing_timeout{1800};
/// Members that cannot be reached for this long keep nobody waiting.
inline constexpr std::chrono::milliseconds dissolving_timeout{3000};
/// Part of the instances that is kept out of groups to repair others.
inline constexpr double spare_fraction = 0.2;
/// Bounds of the part of a group's slots that its requests fill on average.
/// Below the first, more groups serve nobody better; beyond the second, waiting
/// grows fast.
inline constexpr double min_utilisation = 0.25;
inline constexpr double max_utilisation = 0.75;
/// Groups of a model that exist whatever the demand, so that one may fail.
inline constexpr std::size_t min_groups_per_model = 2;
/// Free instances that stay in each fabric domain when a group is formed there
/// from instances without its weights: a lost member is replaced from its own
/// domain, and failures come in pairs.
inline constexpr std::size_t domain_reserve = 2;
/// While a model lacks groups that cannot be formed yet, others get no further
/// ones beyond this part of what they want: small groups would use up the
/// instances that a large one waits for.
inline constexpr double max_supply_during_shortage = 0.75;
/// A model gives up a group for another one whose supply is lower by this much.
inline constexpr double min_supply_gap = 0.25;
/// Time for the last change to show before another group is given up.
inline constexpr std::chrono::milliseconds reclaim_interval{2500};
/// Costs of a join: nothing to fetch, weights on the host, weights to be
/// loaded; and the latter where it would also cost another model its spare.
inline constexpr int cost_in_memory = 0;
inline constexpr int cost_staged = 1;
inline constexpr int cost_load = 10;
inline constexpr int cost_load_over_staged = 11;

/// Whether an entry names this very group and epoch.
inline bool is_member_of(const gateway::target_entry& entry, const planned_group& group) {
  return entry.membership && entry.membership->group == group.group &&
         entry.membership->epoch == group.epoch;
}

} // namespace camphorlug::replicas::planning
