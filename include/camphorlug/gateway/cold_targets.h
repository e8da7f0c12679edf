#pragma once

#include "camphorlug/gateway/cold_bound.h"
#include "camphorlug/gateway/cold_state.h"
#include "camphorlug/gateway/fleet_size.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Bounds the requests that cold targets get from all nodes together.
///
/// Answers the load pattern in which a target, or all of a data centre, has just started: it looks
/// idle, so all nodes prefer it, and it crashes under what a warm one bears. Two parts of the bound
/// are for schedulers, because two nodes may schedule the same pool while nodes differ about who
/// does. The rest is for nodes that choose by themselves. In a large fleet an equal share of it is
/// less than one request, so a few owners use it, half as many as it allows, since nodes may differ
/// about the owners too. A node that may have missed the others sends nothing: after its start,
/// while it hears of less than half of the nodes that it knows, and for a while after that. In a
/// fleet that has been small for long, each node has a fixed share. Performs no I/O.
class cold_targets {
public:
  /// Parts of the rate that a scheduler is given and uses, and its largest burst. See
  /// pool_scheduler.
  static constexpr double scheduler_fraction = 0.6;
  static constexpr double scheduler_burst = 2;
  /// Part of the bound of each of two schedulers.
  static constexpr double scheduler_share = 0.4;
  /// A scheduler that has just started uses at most this part of its rate: its peers may not have
  /// told it yet how many nodes there are.
  static constexpr double starting_fraction = 0.2;
  /// Requests of one node within this time arrive within one second at the earliest. It is above a
  /// second because some take longer on the way than others.
  static constexpr std::chrono::milliseconds counted_time{1250};
  /// Time in which nodes learn of each other.
  static constexpr std::chrono::milliseconds settling_time{6000};
  /// A target gets more and more for this long after it was cold, because nodes may believe it cold
  /// for different times, and all would turn to it at once.
  static constexpr std::chrono::milliseconds ramp_time{2000};
  /// A target gets this many times as much at the end of the ramp as while it is cold.
  static constexpr double ramp_end = 4;
  /// Up to this many nodes, each has this part of the bound.
  static constexpr std::size_t small_fleet = 6;
  /// Nodes that are gone count for this long, since they may be cut off rather than dead.
  static constexpr std::chrono::seconds node_memory{30};
  /// The same while less than half of the known nodes are heard of, which then may be the cut part.
  static constexpr std::chrono::seconds minority_node_memory{300};

  explicit cold_targets(support::clock& time)
      : time_(time), created_at_(time.now()), large_until_(created_at_ + node_memory),
        settled_at_(created_at_ + settling_time) {}

  void change_bound(const cold_bound& bound) { bound_ = bound; }

  /// Follows the list of the other live nodes. `expects_others` tells whether the settings name
  /// any. Call it several times a second.
  void update(const std::vector<std::string>& others, const std::string& self, bool expects_others);

  /// Applies how many nodes a peer knows.
  void learn_size(const fleet_size& reported);
  /// How many nodes this node knows, to be sent to peers.
  fleet_size size() const;

  /// Whether what the target gets is bounded now: it is cold or was so until just now.
  bool is_bounded(const cold_state& state) const {
    return state.requests_per_second > 0 && time_.now() < state.until + ramp_time;
  }
  /// Requests a second to be given to a scheduler for this target; nothing if it is not bounded, 0
  /// if it should get none.
  std::optional<double> scheduler_rate(const cold_state& state) const;
  /// When this node may send the target a request by its own choice; nothing if it may now.
  std::optional<support::clock::time_point> next_at(const std::string& target,
                                                    const cold_state& state) const;
  /// Counts a request that this node sends to the target by its own choice.
  void count(const std::string& target, const cold_state& state);

  /// Nodes that this node takes into account, itself included.
  std::size_t known_nodes() const { return size().nodes; }
  /// Part of them that this node hears of, the least within `settling_time`.
  double heard_fraction() const;

private:
  double total(const cold_state& state) const {
    return state.requests_per_second * bound_.over + bound_.slack;
  }
  double full_scheduler_rate(const cold_state& state) const;
  void record_heard_fraction(double fraction);
  /// How far the ramp has come: 1 while the target is cold, `ramp_end` at the end.
  double ramp_factor(const cold_state& state) const;
  /// Requests that this node may send the target within `counted_time`.
  std::size_t quota(const std::string& target, const cold_state& state) const;
  std::optional<std::chrono::nanoseconds> interval(const std::string& target,
                                                   const cold_state& state) const;

  support::clock& time_;
  cold_bound bound_;
  std::string self_;
  support::clock::time_point created_at_;
  /// All other nodes that count, with the time at which each was last heard of.
  std::map<std::string, support::clock::time_point> heard_at_;
  /// The most nodes that peers know, as of `learned_at_`.
  std::size_t learned_nodes_ = 0;
  support::clock::time_point learned_at_;
  struct heard_part {
    support::clock::time_point at;
    double fraction = 0;
  };
  /// The parts of the fleet that were heard of, without those that a later one undercuts.
  std::deque<heard_part> heard_parts_;
  bool hears_none_ = true;
  bool expects_others_ = true;
  bool is_minority_ = true;
  /// Until then the fleet counts as large.
  support::clock::time_point large_until_;
  /// Until then other nodes may count differently.
  support::clock::time_point settled_at_;
  /// When the last request to each bounded target was sent.
  std::map<std::string, support::clock::time_point> sent_at_;
};

} // namespace camphorlug::gateway
