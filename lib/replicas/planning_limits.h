#pragma once

#include "camphorlug/replicas/replica_planner.h"

#include <chrono>
#include <cstdint>
#include <string>

/// Constants and helpers shared by the source files of the planner.
namespace camphorlug::replicas::planning {

/// Number of epochs and of fencing tokens reserved for one acquisition of the lease. All numbers
/// of a later acquisition are larger.
inline constexpr std::uint64_t numbers_per_term = 1'000'000;
/// Time after which an order that has had no visible effect is sent again.
inline constexpr std::chrono::milliseconds order_retry_interval{1200};
/// A group is dissolved if its head does not open it within this time.
inline constexpr std::chrono::milliseconds opening_timeout{8000};
/// A group is dissolved if it does not become ready within this time, and an unconfirmed load no
/// longer counts as in progress after it. The limit allows for concurrent weight
/// loads, which slow each other down.
inline constexpr std::chrono::milliseconds load_timeout{40'000};
/// Groups in an evacuated data centre are closed after this time even if those elsewhere do not
/// suffice: no node sends requests there any more by then, and the streams that they serve end.
inline constexpr std::chrono::milliseconds evacuated_closing_delay{3000};
/// How long the head of a closing group may take to finish its requests.
inline constexpr std::chrono::milliseconds closing_timeout{9000};
/// The same limit for a group that has lost a member's entry. It is less than the two seconds for
/// which a member that leaves without announcing it keeps working at least. A dead member is
/// detected by the stall of its group.
inline constexpr std::chrono::milliseconds lost_entry_closing_timeout{1800};
/// The other members of a dissolving group are released after this time even if some members
/// cannot be reached.
inline constexpr std::chrono::milliseconds dissolving_timeout{3000};
/// Fraction of the instances that is kept out of groups to repair groups.
inline constexpr double spare_fraction = 0.2;
/// Bounds of the average fraction of a group's slots that are in use. Below the minimum, more
/// groups do not improve service; above the maximum, waiting times grow quickly.
inline constexpr double min_utilisation = 0.25;
inline constexpr double max_utilisation = 0.75;
/// Minimum number of groups per model once the demand is known, so that the model stays
/// available when one group fails.
inline constexpr std::size_t min_groups_per_model = 2;
/// Number of free instances that must remain in a fabric domain after a group is formed there
/// from instances none of which has its weights. A lost member is replaced from its own domain,
/// and instances often fail two at a time.
inline constexpr std::size_t domain_reserve = 2;
/// The supply of a model is its number of live groups divided by the wanted number. While a model
/// has a shortage that cannot be filled yet, other models get no new groups above this supply.
/// Otherwise small groups would use up the instances that a large group is waiting for.
inline constexpr double max_supply_during_shortage = 0.75;
/// A group is taken from one model for another only if the supply of the two differs by more than
/// this.
inline constexpr double min_supply_gap = 0.25;
/// The same limit for taking groups from a model with smaller groups: little is given up then, and
/// a lack of the larger groups does not end by itself, because the replacements of lost members
/// are used up by smaller groups.
inline constexpr double min_supply_gap_from_smaller = 0.1;
/// A group is taken from a model with groups as large or larger only if the supplies have differed
/// by so much for this time. Members that are lost together are replaced within two seconds; a
/// difference that the replacements remove is no reason to close a group that serves.
inline constexpr std::chrono::milliseconds min_gap_duration{2000};
/// Minimum time between two decisions to reclaim groups, so that the first change has taken
/// effect.
inline constexpr std::chrono::milliseconds reclaim_interval{2500};
inline constexpr std::chrono::milliseconds reclaim_interval_from_smaller{600};
/// Relative costs of a join; they are only summed and compared. The model is in memory.
inline constexpr int cost_in_memory = 0;
/// The weights are staged on the host.
inline constexpr int cost_staged = 1;
/// The weights must be loaded from the weight store.
inline constexpr int cost_load = 10;
/// The weights must be loaded and displace another model's staged weights.
inline constexpr int cost_load_over_staged = 11;

/// Whether `entry` reports membership in `group` with the same epoch.
inline bool is_member_of(const gateway::target_entry& entry, const planned_group& group) {
  return entry.membership && entry.membership->group == group.group &&
         entry.membership->epoch == group.epoch;
}

} // namespace camphorlug::replicas::planning
