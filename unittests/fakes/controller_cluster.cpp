#include "fakes/controller_cluster.h"

#include "camphorlug/table/store_error.h"

#include <algorithm>

namespace camphorlug::fakes {

using namespace std::chrono_literals;
using replicas::order_result;

static constexpr std::size_t controllers = 3;
static constexpr auto observation_interval = 20ms;
static constexpr auto reading_interval = 60ms;
/// Time that the store takes for an answer that a controller waits for.
static constexpr auto entry_read_time = 20ms;
static constexpr auto permanent_suspension = 24h * 365;
/// Same values as in lib/edge/edge_node.cpp.
static constexpr groups::lease_timing timing{2000ms, 300ms};

/// Runs a call to completion and delivers its result or error when the process is not suspended.
template<class Value>
static support::task<Value> deliver_when_resumed(suspendable_clock& process,
                                                 support::task<Value> call) {
  std::optional<Value> result;
  std::optional<table::store_error> failure;
  try {
    result = co_await std::move(call);
  } catch (const table::store_error& error) {
    failure = error;
  }
  co_await process.wait_until_resumed();
  if (failure)
    throw table::store_error(*failure);
  co_return std::move(*result);
}

support::task<std::vector<table::row>> suspendable_store::scan(std::string prefix) {
  return deliver_when_resumed(process_, inner_.scan(std::move(prefix)));
}

support::task<table::commit_result> suspendable_store::commit(table::transaction change) {
  return deliver_when_resumed(process_, inner_.commit(std::move(change)));
}

support::task<> pool_client::simulate_transfer() {
  const auto longest = static_cast<std::uint64_t>(network_.longest_delay.count());
  co_await cluster_clock_.sleep_for(std::chrono::milliseconds(1 + random_() % longest));
}

support::task<order_result> pool_client::send(replicas::replica_order order,
                                              std::function<bool()> send_if) {
  // Time to open the connection.
  co_await process_.sleep_for(1ms);
  if (!send_if())
    co_return order_result::not_sent;
  co_await simulate_transfer();
  const order_result result = pool_.submit(order);
  co_await simulate_transfer();
  co_await process_.wait_until_resumed();
  const bool lost =
      std::uniform_real_distribution<>(0, 1)(random_) < network_.lost_answer_probability;
  co_return lost ? order_result::unknown : result;
}

support::task<replicas::report_result> pool_client::report(gateway::target_entry entry) {
  using outcome = replicas::report_result::outcome;
  const bool is_alive = co_await probe(entry);
  if (!is_alive)
    co_return replicas::report_result{outcome::unanswered, {}};
  const emulated_instance& runner = pool_.at(entry.id);
  co_return replicas::report_result{outcome::answered,
                                    {runner.started_at_ms, runner.draining, runner.membership}};
}

support::task<bool> pool_client::probe(gateway::target_entry entry) {
  co_await simulate_transfer();
  const auto found = pool_.runners().find(entry.id);
  const bool alive = found != pool_.runners().end() && found->second.alive &&
                     found->second.started_at_ms == entry.started_at_ms;
  if (!alive)
    co_await cluster_clock_.sleep_for(500ms);
  co_await process_.wait_until_resumed();
  co_return alive;
}

static std::shared_ptr<const gateway::routing_config>
single_service_config(const gateway::engine_profile& engine) {
  auto config = std::make_shared<gateway::routing_config>();
  config->version = 1;
  gateway::service_spec service;
  service.name = "engines";
  service.engine = engine;
  config->services["engines"] = service;
  return config;
}

controller_cluster::controller_cluster(std::uint64_t seed)
    : random(seed), engine(two_model_engine()), pool(clock, engine, seed) {
  for (int i = 0; i < 24; ++i)
    pool.add("i" + std::to_string(i), "d" + std::to_string(i / 8));
  for (std::size_t i = 0; i < controllers; ++i)
    nodes.push_back(make_process());
  support::spawn(context.get_executor(), "observe", observe());
}

controller_cluster::~controller_cluster() {
  clock.shut_down();
}

std::unique_ptr<controller_process> controller_cluster::make_process() {
  auto made = std::make_unique<controller_process>(clock, table, pool, random, network);
  controller_process& node = *made;
  node.id = "n" + std::to_string(++names_);
  node.identifiers = support::random_source(random());
  node.config.update_if_newer(single_service_config(engine));
  node.lease = std::make_unique<groups::table_lease>(node.store, node.process, node.identifiers,
                                                     "replicas", node.id, timing);
  const auto sees_other_leader = [this, &node] {
    return !node.peers_unreachable &&
           std::any_of(nodes.begin(), nodes.end(), [&](const auto& other) {
             return other.get() != &node && !other->peers_unreachable && !other->process.frozen() &&
                    other->lease->held();
           });
  };
  node.controller =
      std::make_unique<replicas::replica_controller>(replicas::replica_controller_context{
          context.get_executor(), node.process, node.config, node.registry, *node.lease,
          node.client, node.client, [this] { return pool.traffic; }, sees_other_leader,
          [] { return gateway::slot_demand{}; }, [] { return std::vector<std::string>{}; },
          [this, &node] { return read_entries(node, entry_read_time); }, [] { return true; }});
  support::spawn(context.get_executor(), "entries", follow_entries(node));
  support::spawn(context.get_executor(), "lease", node.controller->keep_lease());
  support::spawn(context.get_executor(), "replicas", node.controller->run());
  return made;
}

void controller_cluster::replace_node(std::size_t index) {
  nodes[index]->process.freeze_for(permanent_suspension);
  retired.push_back(std::move(nodes[index]));
  nodes[index] = make_process();
}

support::task<bool> controller_cluster::read_entries(controller_process& node,
                                                     std::chrono::milliseconds delay) {
  if (node.connection.cut || table.down)
    co_return false;
  const auto entries = pool.entries();
  co_await node.process.sleep_for(delay);
  std::set<std::string> present;
  std::uint64_t newest = 0;
  for (const auto& [id, target] : entries) {
    present.insert(id);
    newest = std::max(newest, target.version);
    node.registry.update(id, target.version, target.entry);
  }
  node.registry.retain(present, newest);
  co_return true;
}

support::task<> controller_cluster::follow_entries(controller_process& node) {
  for (;;) {
    // The store's answer arrives late, so the controller may see outdated entries.
    const std::chrono::milliseconds delay(random() % 150);
    co_await read_entries(node, delay);
    node.registry.expire();
    co_await node.process.sleep_for(reading_interval);
  }
}

support::task<> controller_cluster::observe() {
  for (;;) {
    pool.advance();
    std::string holders;
    std::size_t count = 0;
    for (const auto& node : nodes) {
      if (!node->lease->held())
        continue;
      ++count;
      holders += " " + node->id;
      if (node->lease->number() < last_number_)
        lease_violations_.push_back(
            node->id + " holds the lease with a smaller number than an earlier holder");
      takeovers += node->lease->number() > last_number_ ? 1 : 0;
      last_number_ = std::max(last_number_, node->lease->number());
    }
    if (count > 1)
      lease_violations_.push_back("lease held by more than one process:" + holders);
    co_await clock.sleep_for(observation_interval);
  }
}

controller_process* controller_cluster::leader() {
  for (const auto& node : nodes) {
    if (node->lease->held())
      return node.get();
  }
  return nullptr;
}

bool controller_cluster::run_until(const std::function<bool()>& done,
                                   std::chrono::nanoseconds limit) {
  const auto until = clock.now() + limit;
  while (!done() && clock.now() < until)
    clock.run_for(100ms);
  return done();
}

std::vector<std::string> controller_cluster::violations() const {
  std::vector<std::string> all = pool.violations();
  all.insert(all.end(), lease_violations_.begin(), lease_violations_.end());
  return all;
}

} // namespace camphorlug::fakes
