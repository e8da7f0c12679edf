#include "camphorlug/support/random_source.h"
#include "scheduler_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using gateway::scheduled_slot;
using scheduling::pool_scheduler;

namespace {

/// Longest time that a message is on its way in the model.
constexpr auto max_delay = 120ms;
/// Time after the loss of a scheduler or the end of the load by which all counts must be right.
constexpr auto settle_time = 3s;

/// A node as the scheduler sees it: what it holds, and messages to and from it that are late or
/// lost.
struct modelled_node {
  std::string id;
  bool alive = true;
  std::map<std::string, std::size_t> held;
  support::clock::time_point reports_at;
  std::uint64_t last_sequence = 0;
};

/// Random interleavings of asks, give-backs, reports and losses between nodes and a scheduler that
/// may be replaced by an empty one.
struct interleaving {
  struct event {
    support::clock::time_point at;
    std::function<void()> act;
  };

  interleaving(std::uint64_t seed, std::size_t node_count, std::size_t target_count,
               std::size_t slot_count, double loss_probability)
      : world(target_count, slot_count), random(seed), slots(slot_count), loss(loss_probability) {
    scheduler = std::make_unique<pool_scheduler>(world.clock);
    scheduler->set_targets(world.targets, 0);
    for (std::size_t i = 0; i < node_count; ++i)
      nodes.push_back({"n" + std::to_string(i), true, {}, {}, 0});
  }

  bool is_lost() { return random.uniform_real() < loss; }

  void later(std::chrono::nanoseconds longest, std::function<void()> act) {
    const double part = random.uniform_real();
    const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(longest * part);
    events.push_back({world.clock.now() + delay, std::move(act)});
  }

  void ask(std::size_t node) {
    const auto in_time = std::chrono::milliseconds(random.below(600));
    scheduling::ask_options options{.node = nodes[node].id,
                                    .organisation = "o" + std::to_string(random.below(4)),
                                    .priority = static_cast<int>(random.below(3)),
                                    .in_time = in_time,
                                    .latest =
                                        in_time + std::chrono::milliseconds(random.below(900))};
    if (random.below(5) == 0)
      options.avoided.insert("t" + std::to_string(random.below(world.targets.size())));
    const auto decisions = std::make_shared<int>(0);
    submitted.push_back(decisions);
    const std::uint64_t number = scheduler->submit(
        world.make(options), [this, node, decisions](const scheduled_slot& decided) {
          ++*decisions;
          if (decided.result == scheduled_slot::outcome::granted && !is_lost())
            later(max_delay, [this, node, id = decided.target.id] { take(node, id); });
        });
    if (number != 0 && random.below(10) == 0)
      later(400ms, [this, number, by = scheduler.get(), decisions] {
        // The ask counts as decided if it still waits.
        if (scheduler.get() != by)
          return;
        const std::size_t before = by->waiting();
        by->cancel(number);
        *decisions += before > by->waiting() ? 1 : 0;
      });
  }

  void take(std::size_t node, const std::string& target) {
    if (!nodes[node].alive)
      return;
    ++nodes[node].held[target];
    later(800ms, [this, node, target] { give_back(node, target); });
  }

  void give_back(std::size_t node, const std::string& target) {
    modelled_node& owner = nodes[node];
    if (!owner.alive || owner.held[target] == 0)
      return;
    --owner.held[target];
    if (!is_lost())
      later(max_delay, [this, node, target, sequence = ++owner.last_sequence] {
        scheduler->release(nodes[node].id, target, sequence);
      });
  }

  void report(std::size_t node) {
    nodes[node].reports_at = world.clock.now() + 600ms;
    gateway::target_loads held;
    for (const auto& [target, count] : nodes[node].held) {
      if (count > 0)
        held[target] = count;
    }
    if (!is_lost())
      later(max_delay, [this, node, held, sequence = ++nodes[node].last_sequence] {
        scheduler->report_held(nodes[node].id, held, sequence);
      });
  }

  /// The node's requests end with it.
  void kill(std::size_t node) {
    nodes[node].alive = false;
    nodes[node].held.clear();
  }

  /// The state of the scheduler is lost. Asks that waited there end without a decision.
  void replace_scheduler() {
    for (const auto& target : world.targets)
      unknown_after_loss[target.target.id] = scheduler->in_flight(target.target.id);
    for (modelled_node& each : nodes)
      each.reports_at = world.clock.now();
    submitted.clear();
    scheduler = std::make_unique<pool_scheduler>(world.clock);
    scheduler->set_targets(world.targets, 0);
    lost_at = world.clock.now();
  }

  void step() {
    world.run_for(10ms);
    std::vector<std::function<void()>> due;
    for (const event& each : events) {
      if (each.at <= world.clock.now())
        due.push_back(each.act);
    }
    std::erase_if(events, [this](const event& each) { return each.at <= world.clock.now(); });
    for (const auto& act : due)
      act();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].alive && nodes[i].reports_at <= world.clock.now())
        report(i);
    }
    if (++steps % 10 == 0)
      scheduler->expire();
    scheduler->assign();
  }

  /// What runs at a target is at most its slots and what a lost scheduler alone knew of.
  bool is_within_slots() {
    for (const auto& target : world.targets) {
      std::size_t running = 0;
      for (const modelled_node& each : nodes) {
        const auto found = each.held.find(target.target.id);
        running += found == each.held.end() ? 0 : found->second;
      }
      // A slot that only the lost scheduler knew of may be given back to the new one, which takes
      // it for another one of the node until the next report.
      const bool remembers = lost_at && world.clock.now() - *lost_at < settle_time;
      if (running > slots + (remembers ? unknown_after_loss[target.target.id] : 0))
        return false;
    }
    return true;
  }

  bool all_decided_once() const {
    return std::all_of(submitted.begin(), submitted.end(),
                       [](const auto& decisions) { return *decisions == 1; });
  }

  scheduling::scheduler_fixture world;
  support::random_source random;
  std::size_t slots;
  double loss;
  std::unique_ptr<pool_scheduler> scheduler;
  std::deque<modelled_node> nodes;
  std::vector<event> events;
  std::vector<std::shared_ptr<int>> submitted;
  std::map<std::string, std::size_t> unknown_after_loss;
  std::optional<support::clock::time_point> lost_at;
  int steps = 0;
};

enum class outcome { sound, above_slots, slot_lost, not_decided_once };

outcome play(std::uint64_t seed, double loss, bool with_failures) {
  interleaving game(seed, 4, 3, 2, loss);
  for (int i = 0; i < 800; ++i) {
    for (std::size_t asks = game.random.below(3); asks > 0; --asks)
      game.ask(game.random.below(game.nodes.size()));
    if (with_failures && i == 300)
      game.kill(0);
    if (with_failures && i == 500)
      game.replace_scheduler();
    game.step();
    if (!game.is_within_slots())
      return outcome::above_slots;
  }
  // Slots that are taken at the end of the load run for up to 0.8 s and a message's time.
  const auto ends = game.world.clock.now() + 1s + 800ms + settle_time;
  game.loss = 0;
  while (game.world.clock.now() < ends)
    game.step();
  if (game.scheduler->total_in_flight() != 0)
    return outcome::slot_lost;
  return game.all_decided_once() ? outcome::sound : outcome::not_decided_once;
}

std::ostream& operator<<(std::ostream& out, outcome each) {
  static constexpr const char* names[] = {"sound", "above slots", "slot lost", "not decided once"};
  return out << names[static_cast<int>(each)];
}

} // namespace

BOOST_AUTO_TEST_CASE(no_interleaving_loses_slots_or_exceeds_them) {
  const bool holds = rc::check("slots are neither lost nor exceeded", [] {
    RC_ASSERT(play(*rc::gen::arbitrary<std::uint64_t>(), 0, false) == outcome::sound);
  });
  BOOST_TEST(holds);
}

BOOST_DATA_TEST_CASE(lost_messages_lose_no_slots, data::xrange(40), seed) {
  BOOST_TEST(play(seed, 0.1, false) == outcome::sound);
}

BOOST_DATA_TEST_CASE(loss_of_nodes_and_schedulers_loses_no_slots, data::xrange(40), seed) {
  BOOST_TEST(play(100 + seed, 0, true) == outcome::sound);
}
