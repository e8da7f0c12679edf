#pragma once

#include "camphorlug/gateway/member_sighting.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/replicas/instance_prober.h"
#include "camphorlug/support/clock.h"

#include <asio/any_io_executor.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::replicas {

/// Asks the members of groups whose entries have lapsed whether they still run, so that their
/// groups serve on at all nodes.
///
/// Answers a cut of many instances from the store alone: their entries vanish within a second, and
/// with each of them a whole group that still serves would stop. One node has the duty; the next in
/// line asks where its answers stay out.
class held_member_checker {
public:
  /// Time between two questions to a member. An answer that got lost leaves time for two more
  /// before the group stops.
  static constexpr std::chrono::milliseconds check_interval{1000};
  /// Members that are asked and reported at a time, which bounds the messages between nodes. The
  /// groups of more members stop.
  static constexpr std::size_t max_members = 48;
  /// Age of the latest answer at which the next in line asks a member: the first one's answer takes
  /// up to two exchanges between hubs, and the group must not stop before that of the next arrives.
  static constexpr std::chrono::milliseconds takeover_age{1900};
  /// The same for a member that has not been seen since its entry lapsed.
  static constexpr std::chrono::milliseconds first_takeover_age{500};

  held_member_checker(asio::any_io_executor executor, support::clock& time,
                      gateway::target_registry& registry, instance_prober& prober,
                      std::function<bool(const gateway::target_entry&)> group_progresses)
      : executor_(std::move(executor)), time_(time), registry_(registry), prober_(prober),
        group_progresses_(std::move(group_progresses)) {}

  /// Starts the questions that are due. `place` is this node's place among those that may have the
  /// duty. Call it several times a second.
  void update(std::optional<std::size_t> place);
  /// What this node has seen itself, to be sent to peers.
  gateway::member_sightings sightings() const;

private:
  struct checked_member {
    support::clock::time_point asked_at;
    bool was_seen = false;
    gateway::member_sighting sighting;
    support::clock::time_point seen_at;
  };

  bool is_due(const gateway::held_member& held, std::size_t place) const;
  support::task<> check(gateway::target_entry entry);
  void record(const gateway::target_entry& entry, bool is_member);

  asio::any_io_executor executor_;
  support::clock& time_;
  gateway::target_registry& registry_;
  instance_prober& prober_;
  /// Whether streams of a member's group progress at this node. They would stand still without it.
  std::function<bool(const gateway::target_entry&)> group_progresses_;
  std::map<std::string, checked_member> members_;
};

} // namespace camphorlug::replicas
