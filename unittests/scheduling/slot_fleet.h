#pragma once

#include "camphorlug/gateway/fleet_roles.h"
#include "camphorlug/gateway/slot_queue.h"
#include "camphorlug/scheduling/scheduler_client.h"
#include "camphorlug/scheduling/scheduler_service.h"
#include "camphorlug/support/virtual_clock.h"

#include "slot_network.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// Nodes with their scheduler clients and services in virtual time, before targets at which
/// requests beyond the slots begin later. Nodes learn late who lives; by their own choice they act
/// on sums of loads that are 400 ms old, or 100 ms in a fleet without schedulers.
struct slot_fleet {
  static constexpr std::chrono::milliseconds housekeeping_interval{50};
  static constexpr std::chrono::milliseconds sum_age{400};
  static constexpr std::chrono::milliseconds sum_age_in_mesh{100};
  /// Longest wait for a slot that a request states.
  static constexpr std::chrono::milliseconds longest_wait{1000};
  static constexpr std::chrono::milliseconds objective_wait{200};
  static constexpr std::size_t slots = 10;

  static const gateway::target_pool& pool() {
    static const gateway::target_pool only{"engines", ""};
    return only;
  }

  /// One process of a node. After its end it stays in memory, out of reach of the others.
  struct process {
    process(slot_fleet& fleet, const gateway::node_status& own, std::uint64_t seed)
        : status(own), random(seed), clock(fleet.clock),
          client(fleet.network, clock, own.peer_address), service(clock, chooser, config, own.id),
          schedulers({fleet.context.get_executor(), clock, client, chooser, loads, assignment,
                      service, own.id, own.data_centre}) {
      auto routing = std::make_shared<gateway::routing_config>();
      routing->version = 1;
      gateway::engine_profile engine;
      engine.models.resize(1);
      routing->services[pool().service].engine = engine;
      config.update_if_newer(routing);
      queue.set_scheduler(&schedulers);
      chooser.set_node_count(fleet.size);
      for (std::size_t i = 0; i < fleet.target_count; ++i) {
        gateway::target_entry entry;
        entry.id = "t" + std::to_string(i);
        entry.address = entry.id;
        entry.service = pool().service;
        entry.data_centre = "dc-" + std::to_string(i % 3);
        entry.slots = slots;
        registry.update(entry.id, 1, entry);
      }
    }

    void learn(const std::vector<gateway::node_status>& reached) {
      std::vector<const gateway::node_status*> live{&status};
      for (const gateway::node_status& each : reached)
        live.push_back(&each);
      assignment.update(live, gateway::assign_roles(live), *config.current());
    }

    gateway::node_status status;
    bool alive = true;
    support::random_source random;
    fakes::suspendable_clock clock;
    slot_client client;
    gateway::active_config config{clock};
    gateway::target_registry registry{clock};
    gateway::group_directory groups{registry, config};
    gateway::load_tracker loads{clock};
    gateway::suspicion_list suspicions{clock};
    gateway::target_pauses pauses{clock};
    gateway::target_limits limits{clock};
    gateway::evacuation_list evacuations{clock, std::chrono::seconds(5)};
    gateway::target_chooser chooser{registry, groups,      loads,  suspicions,        pauses,
                                    limits,   evacuations, random, status.data_centre};
    gateway::slot_queue queue{clock, chooser, loads, limits};
    scheduler_assignment assignment;
    scheduler_service service;
    scheduler_client schedulers;
    /// Requests that hold a slot, by target.
    std::map<std::string, std::size_t> running;
  };

  /// What a request asks for, and who sends it.
  struct description {
    std::string organisation;
    int priority = 2;
    double prompt_tokens = 0;
    /// How often its caller repeats it at once while it is refused.
    int repetitions = 0;
  };

  /// What became of a request.
  struct outcome {
    description asked;
    std::string data_centre;
    bool is_repetition = false;
    support::clock::time_point arrived_at;
    support::clock::time_point ended_at;
    /// When the target begins to run it.
    support::clock::time_point begun_at;
    /// Longest time until its end, without the time in which its node stood still.
    std::chrono::nanoseconds most{0};
    bool is_of_frozen_node = false;
    bool has_ended = false;
    bool has_slot = false;
    bool is_of_ended_process = false;
  };

  slot_fleet(std::size_t node_count, std::size_t targets, std::uint64_t seed)
      : size(node_count), target_count(targets), random(seed) {
    for (std::size_t i = 0; i < node_count; ++i) {
      gateway::node_status status;
      status.id = "n" + std::to_string(i);
      status.data_centre = "dc-" + std::to_string(i % 3);
      status.peer_address = "peer-" + std::to_string(i);
      status.ready = true;
      status.cores = 0.3;
      statuses.push_back(status);
      processes.push_back(nullptr);
      start(i);
    }
    change_lists(std::chrono::milliseconds(0));
    clock.run_for(std::chrono::milliseconds(1));
  }
  ~slot_fleet() { clock.shut_down(); }

  void start(std::size_t index) {
    all.push_back(
        std::make_unique<process>(*this, statuses[index], random.below(std::size_t{1} << 30)));
    process* const started = all.back().get();
    processes[index] = started;
    network.servers[statuses[index].peer_address] = {
        [started](net::server_request request, net::response_writer& writer) {
          return started->service.handle(std::move(request), writer);
        },
        &started->clock};
    support::spawn(context.get_executor(), "housekeeping", keep(started));
  }

  support::task<> keep(process* own) {
    while (own->alive) {
      own->service.update(own->assignment);
      own->schedulers.update();
      own->queue.assign_free_slots();
      co_await own->clock.sleep_for(housekeeping_interval);
    }
  }

  /// The process ends with all its requests; a new one may start at the same address.
  void kill(std::size_t index) {
    process& ended = *processes[index];
    ended.alive = false;
    ended.running.clear();
    network.servers.erase(ended.status.peer_address);
    for (outcome* each : open_of[&ended])
      each->is_of_ended_process = true;
  }

  /// Each node learns within `delay` which nodes it reaches.
  void change_lists(std::chrono::milliseconds delay) {
    for (process* each : processes) {
      std::vector<gateway::node_status> reached;
      for (const process* other : processes) {
        if (other != each && other->alive &&
            network.passes(each->status.peer_address, other->status.peer_address))
          reached.push_back(other->status);
      }
      const auto part =
          std::chrono::duration_cast<std::chrono::nanoseconds>(delay * random.uniform_real());
      support::spawn(context.get_executor(), "learn", learn(each, std::move(reached), part));
    }
  }
  support::task<> learn(process* each, std::vector<gateway::node_status> reached,
                        std::chrono::nanoseconds delay) {
    co_await clock.sleep_for(delay);
    each->learn(reached);
  }

  /// Index of the node that schedules the pool by the list of the first node that lives.
  std::size_t scheduler() const {
    for (const process* each : processes) {
      const gateway::node_status* found = each->assignment.scheduler_of(pool());
      for (std::size_t i = 0; each->alive && found && i < size; ++i) {
        if (statuses[i].id == found->id)
          return i;
      }
    }
    return size;
  }

  void send(std::size_t index, const description& asked, bool is_repetition = false) {
    process* const own = processes[index];
    if (!own->alive)
      return;
    outcome& sent = outcomes.emplace_back();
    sent.asked = asked;
    sent.data_centre = own->status.data_centre;
    sent.is_repetition = is_repetition;
    sent.arrived_at = clock.now();
    sent.most = longest_wait;
    open_of[own].push_back(&sent);
    support::spawn(context.get_executor(), "request", run(own, &sent));
  }

  using slot_result = gateway::slot_queue::slot_result;

  /// Waits for a slot as the gateway does.
  support::task<slot_result> wait(process& own, gateway::slot_request request) {
    const auto now = own.clock.now();
    const bool is_scheduled = own.queue.is_scheduled(pool());
    const auto until = now + (is_scheduled ? longest_wait : objective_wait);
    if (!is_scheduled && now + own.queue.expected_wait(pool(), request.rank) > until)
      co_return slot_result{};
    co_return co_await own.queue.acquire(std::move(request), until);
  }

  support::task<> run(process* own, outcome* sent) {
    co_await own->clock.wait_until_resumed();
    gateway::slot_request request{
        pool(), {sent->asked.priority, own->clock.now() + objective_wait}, {}, nullptr};
    request.organisation = sent->asked.organisation;
    request.prompt_tokens = sent->asked.prompt_tokens;
    request.in_time_until = own->clock.now() + objective_wait;
    slot_result got = co_await wait(*own, std::move(request));
    sent->has_ended = true;
    sent->ended_at = clock.now();
    sent->is_of_frozen_node = own->clock.was_frozen();
    sent->has_slot = bool(got);
    if (!got && sent->asked.repetitions > 0) {
      description again = sent->asked;
      --again.repetitions;
      send(random.below(size), again, true);
    }
    if (!got || !own->alive)
      co_return;
    const std::string target = got.slot->target().id;
    ++own->running[target];
    note_load(target);
    const std::size_t load = running_at(target);
    const double rounds = static_cast<double>(load - std::min(load, slots)) / slots;
    const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(mean_hold * rounds);
    sent->begun_at = clock.now() + delay;
    const auto hold = std::chrono::duration_cast<std::chrono::nanoseconds>(
        mean_hold * (0.5 + random.uniform_real()));
    own->queue.update_hold_estimate(pool(), delay + hold);
    // The target goes on while its node stands still.
    co_await clock.sleep_for(delay + hold);
    if (own->running[target] > 0)
      --own->running[target];
    co_await own->clock.wait_until_resumed();
  }

  std::size_t running_at(const std::string& target) const {
    std::size_t sum = 0;
    for (const process* each : processes) {
      const auto found = each->running.find(target);
      sum += each->alive && found != each->running.end() ? found->second : 0;
    }
    return sum;
  }

  void note_load(const std::string& target) {
    loads_seen.emplace_back(clock.now(), running_at(target));
  }
  /// The most that any target had from `begin` to `end`.
  std::size_t most_at_a_target(support::clock::time_point begin,
                               support::clock::time_point end) const {
    std::size_t most = 0;
    for (const auto& [at, load] : loads_seen) {
      if (at >= begin && at < end)
        most = std::max(most, load);
    }
    return most;
  }
  double share_with_slot(support::clock::time_point begin, support::clock::time_point end,
                         std::chrono::nanoseconds within) const {
    double sent = 0, got = 0;
    for (const outcome& each : outcomes) {
      if (each.arrived_at < begin || each.arrived_at >= end || each.is_of_ended_process ||
          each.is_of_frozen_node)
        continue;
      ++sent;
      got += each.has_slot && each.begun_at - each.arrived_at <= within ? 1 : 0;
    }
    return sent > 0 ? got / sent : 1;
  }

  /// Sends requests for `span` at a multiple of what the targets can take.
  void run_load(std::chrono::milliseconds span, double load) {
    run_load(
        span, [load](double) { return load; },
        [this] { return description{"o" + std::to_string(random.below(5))}; });
  }
  /// The same at a multiple that changes with time, in seconds from the start.
  void run_load(std::chrono::milliseconds span, const std::function<double(double)>& load,
                const std::function<description()>& draw) {
    const auto begin = clock.now();
    const auto ends = begin + span;
    while (clock.now() < ends) {
      const double at = std::chrono::duration<double>(clock.now() - begin).count();
      const double rate = load(at) * static_cast<double>(target_count * slots) /
                          std::chrono::duration<double>(mean_hold).count();
      const description asked = draw();
      send(random.below(size), asked);
      exchange_sums();
      const std::chrono::duration<double> gap(-std::log(1 - random.uniform_real()) / rate);
      clock.run_for(std::chrono::duration_cast<std::chrono::nanoseconds>(gap));
    }
  }
  void run_idle(std::chrono::milliseconds span) {
    for (const auto ends = clock.now() + span; clock.now() < ends;) {
      exchange_sums();
      clock.run_for(std::chrono::milliseconds(50));
    }
  }

  void exchange_sums() {
    if (clock.now() < next_sums)
      return;
    next_sums = clock.now() + std::chrono::milliseconds(100);
    for (process* each : processes) {
      for (process* other : processes) {
        if (each != other && other->alive && !other->clock.frozen() &&
            network.passes(each->status.peer_address, other->status.peer_address))
          support::spawn(context.get_executor(), "sums",
                         apply_sums(each, other->status.id, other->loads.own_loads()));
      }
    }
  }
  support::task<> apply_sums(process* each, std::string of, gateway::target_loads sums) {
    co_await clock.sleep_for(gateway::fleet_roles::is_full_mesh(size) ? sum_age_in_mesh : sum_age);
    each->loads.update_peer(of, std::move(sums));
  }

  std::size_t size;
  std::size_t target_count;
  /// Mean time that a request runs.
  std::chrono::milliseconds mean_hold{300};
  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random;
  slot_network network{clock, random, context.get_executor()};
  std::vector<gateway::node_status> statuses;
  /// The running process of each node, or its last one.
  std::vector<process*> processes;
  std::vector<std::unique_ptr<process>> all;
  std::deque<outcome> outcomes;
  std::map<process*, std::vector<outcome*>> open_of;
  std::vector<std::pair<support::clock::time_point, std::size_t>> loads_seen;
  support::clock::time_point next_sums{};
};

} // namespace camphorlug::scheduling
