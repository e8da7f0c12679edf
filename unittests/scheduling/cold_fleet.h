#pragma once

#include "camphorlug/gateway/cold_targets.h"
#include "camphorlug/gateway/fleet_roles.h"
#include "camphorlug/scheduling/pool_scheduler.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/support/virtual_clock.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// A fleet before one cold target, to which each node sends as much as it may: by the scheduler
/// that it believes in, or by its own choice. Nodes learn late who lives, and a part of the fleet
/// may be cut from the others.
struct cold_fleet {
  static constexpr std::chrono::milliseconds tick{10};
  static constexpr std::chrono::milliseconds max_list_delay{2000};
  static constexpr std::chrono::milliseconds max_latency{30};

  cold_fleet(std::size_t count, std::uint64_t seed) : random(seed), nodes(count) {
    for (std::size_t i = 0; i < count; ++i)
      nodes[i].name = "node" + std::to_string(i);
    for (node& each : nodes)
      start(each);
  }

  struct node {
    std::string name;
    /// Nodes reach each other within a part.
    int part = 0;
    bool alive = false;
    std::unique_ptr<gateway::cold_targets> cold;
    std::unique_ptr<pool_scheduler> scheduler;
    /// The list of other live nodes that it holds, and the one that replaces it.
    std::vector<std::string> others;
    /// The first node of the list: its hub, which is the scheduler in a large fleet.
    std::string hub;
    std::optional<std::vector<std::string>> next_others;
    support::clock::time_point next_at;
    /// What it knows of the target.
    std::optional<gateway::cold_state> known;
  };

  void start(node& each) {
    each.alive = true;
    each.cold = std::make_unique<gateway::cold_targets>(clock);
    each.cold->change_bound(bound);
    each.scheduler.reset();
    each.others.clear();
    each.hub = each.name;
    each.next_others.reset();
    change_lists();
  }

  void kill(node& each) {
    each.alive = false;
    each.scheduler.reset();
    change_lists();
  }

  /// Each node learns after a while whom it reaches.
  void change_lists() {
    for (node& each : nodes) {
      std::vector<std::string> reached;
      for (const node& other : nodes) {
        if (&other != &each && other.alive && other.part == each.part)
          reached.push_back(other.name);
      }
      each.next_others = std::move(reached);
      const auto delay = random.below(static_cast<std::size_t>(max_list_delay.count()));
      each.next_at = clock.now() + std::chrono::milliseconds(delay);
    }
  }

  void know(gateway::cold_state state) {
    for (node& each : nodes)
      each.known = state;
  }

  static const std::string& scheduler_of(const node& each) {
    static const std::string none;
    return gateway::fleet_roles::is_full_mesh(each.others.size() + 1) ? none : each.hub;
  }

  /// Messages pass between a node and its hub, the first one of its list, if it reaches it.
  void exchange_sizes(node& each) {
    if (each.hub == each.name)
      return;
    const auto hub = std::find_if(nodes.begin(), nodes.end(), [&](const node& other) {
      return other.alive && other.part == each.part && other.name == each.hub;
    });
    if (hub == nodes.end())
      return;
    each.cold->learn_size(hub->cold->size());
    hub->cold->learn_size(each.cold->size());
  }

  void update(node& each) {
    if (each.next_others && each.next_at <= clock.now()) {
      each.others = *std::exchange(each.next_others, std::nullopt);
      each.hub = each.name;
      for (const std::string& other : each.others)
        each.hub = std::min(each.hub, other);
    }
    exchange_sizes(each);
    each.cold->update(each.others, each.name, true);
    if (scheduler_of(each) != each.name)
      each.scheduler.reset();
    else if (!each.scheduler)
      each.scheduler = std::make_unique<pool_scheduler>(clock);
    if (!each.scheduler || !each.known)
      return;
    const std::optional<double> rate = each.cold->scheduler_rate(*each.known);
    std::vector<schedulable_target> targets;
    if (!rate || *rate > 0)
      targets.push_back({{"t", "t", 1000, 0, 0}, "here", rate});
    each.scheduler->set_targets(targets, 0);
  }

  /// Returns whether the scheduler that the node believes in answered, with a slot or none.
  bool ask_scheduler(const node& each) {
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const node& other) {
      return other.alive && other.part == each.part && other.scheduler &&
             other.name == scheduler_of(each);
    });
    if (found == nodes.end())
      return false;
    slot_ask ask;
    ask.node = each.name;
    ask.data_centre = "here";
    ask.in_time_until = ask.latest_start = clock.now() + std::chrono::seconds(1);
    auto outcome = gateway::scheduled_slot::outcome::refused;
    const std::uint64_t number = found->scheduler->submit(
        ask, [&](const pool_scheduler::decision& made) { outcome = made.result; });
    found->scheduler->cancel(number);
    if (outcome == gateway::scheduled_slot::outcome::granted) {
      found->scheduler->release(each.name, "t");
      send();
    }
    return outcome != gateway::scheduled_slot::outcome::unavailable;
  }

  void send() {
    const auto latency = random.below(static_cast<std::size_t>(max_latency.count()));
    arrivals.push_back(clock.now() + std::chrono::milliseconds(latency));
  }

  void send_all() {
    const std::size_t first = random.below(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      node& each = nodes[(first + i) % nodes.size()];
      if (!each.alive || !each.known || ask_scheduler(each) || each.cold->next_at("t", *each.known))
        continue;
      each.cold->count("t", *each.known);
      send();
    }
  }

  void run(std::chrono::milliseconds span) {
    const auto until = clock.now() + span;
    while (clock.now() < until) {
      for (node& each : nodes) {
        if (each.alive)
          update(each);
      }
      send_all();
      clock.run_for(tick);
    }
  }

  /// The most requests that arrived within any one second.
  std::size_t most_in_a_second() {
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
      while (arrivals[last] - arrivals[first] >= std::chrono::seconds(1))
        ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  static constexpr gateway::cold_bound bound{1.5, 5};
  static constexpr double rate = 26;
  /// The rate and the bound are those of a customer: 26 x 1.5 + 5.
  static constexpr std::size_t most_allowed = 44;

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random;
  std::vector<node> nodes;
  std::vector<support::clock::time_point> arrivals;
};

} // namespace camphorlug::scheduling
