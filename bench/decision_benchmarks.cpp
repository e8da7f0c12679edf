#include "camphorlug/admission/fair_queue.h"
#include "camphorlug/groups/domain_placement.h"
#include "camphorlug/peers/peer_message.h"
#include "camphorlug/routing/affinity_picker.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/support/virtual_clock.h"

#include <benchmark/benchmark.h>

using namespace camphorlug;

static constexpr std::size_t span = 4;
static constexpr std::size_t instances_per_domain = 20;

/// Measures picking a target; the argument is the number of groups.
static void pick_target(benchmark::State& state) {
  const auto groups = static_cast<std::size_t>(state.range(0));
  std::vector<groups::routable_target> targets(groups);
  std::vector<routing::candidate> candidates;
  for (std::size_t i = 0; i < groups; ++i) {
    targets[i].id = "g-" + std::to_string(i);
    candidates.push_back(
        {&targets[i], support::fast_hash(targets[i].id), double(i % 7), double(i % 5)});
  }
  const routing::affinity_picker picker;
  support::random_source random(1);
  std::uint64_t affinity = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(picker.pick(++affinity, candidates, random));
}
BENCHMARK(pick_target)->Arg(15)->Arg(150)->Arg(1625);

static support::task<> admit_one(admission::fair_queue& queue,
                                 admission::admission_request request) {
  const auto result = co_await queue.enter(request);
  if (result.granted)
    queue.finish(request, request.cost);
}

/// Measures admitting one request while every organisation has one waiting; the argument is
/// the number of organisations.
static void admit_request(benchmark::State& state) {
  const auto organisations = static_cast<std::size_t>(state.range(0));
  asio::io_context context;
  support::virtual_clock clock(context);
  support::random_source random(1);
  std::size_t free_slots = 0;
  admission::fair_queue queue(clock, random, [&free_slots] { return free_slots; });
  documents::service_document document;
  document.queue_limit = 10 * organisations;
  document.classes = {{"standard", 1, 0, std::chrono::hours(10)}};
  for (std::size_t i = 0; i < organisations; ++i)
    document.organisations.push_back({"o" + std::to_string(i), {}, 1, 0, "standard"});
  queue.configure(document);
  std::size_t next = 0;
  const auto enter = [&] {
    const std::string organisation = "o" + std::to_string(next++ % organisations);
    support::spawn(context.get_executor(), "admit",
                   admit_one(queue, {"standard", organisation, 1,
                                     clock.now() + std::chrono::hours(10), next}));
  };
  for (std::size_t i = 0; i < organisations; ++i)
    enter();
  context.poll();
  for (auto _ : state) {
    enter();
    free_slots = 1;
    queue.dispatch_waiting();
    free_slots = 0;
    context.restart();
    context.poll();
  }
  clock.shut_down();
}
BENCHMARK(admit_request)->Arg(10)->Arg(100)->Arg(1000);

static groups::pool_state make_pool(std::size_t instances) {
  groups::pool_state pool;
  pool.spec.name = "m";
  pool.spec.version = "v1";
  pool.spec.span = span;
  pool.spec.replicas = instances / span;
  for (std::size_t i = 0; i < instances; ++i) {
    const std::size_t index_in_domain = i % instances_per_domain;
    const bool is_free = index_in_domain + span > instances_per_domain;
    groups::pool_instance instance;
    instance.id = "i" + std::to_string(i);
    instance.fabric_domain = "f" + std::to_string(i / instances_per_domain);
    instance.data_centre = "d";
    if (!is_free && index_in_domain % span == 0) {
      groups::pool_group group;
      group.record.id = "g" + std::to_string(i);
      group.record.fabric_domain = instance.fabric_domain;
      group.record.model = "m";
      group.record.version = "v1";
      group.record.state = groups::group_state::serving;
      pool.groups.push_back(group);
    }
    if (!is_free) {
      instance.group = pool.groups.back().record.id;
      pool.groups.back().record.members.push_back({instance.id, instance.id});
    }
    pool.instances.push_back(instance);
  }
  pool.instances.front().condition = groups::instance_condition::lost;
  return pool;
}

/// Measures planning with one lost instance; the argument is the number of instances.
static void plan_pool(benchmark::State& state) {
  const groups::pool_state pool = make_pool(static_cast<std::size_t>(state.range(0)));
  const groups::domain_placement placement;
  for (auto _ : state)
    benchmark::DoNotOptimize(placement.plan(pool));
}
BENCHMARK(plan_pool)->Arg(60)->Arg(600)->Arg(6500);

/// Measures encoding and decoding the first message of an exchange; the argument is the number
/// of nodes that the sender knows.
static void encode_exchange(benchmark::State& state) {
  peers::peer_message message;
  message.sender.id = "node-0";
  message.row_fingerprints.resize(32, 0x123456789abcdefULL);
  for (std::int64_t i = 0; i < state.range(0); ++i)
    message.report_digests.push_back({"node-" + std::to_string(i), 1'790'000'000'000, 12345});
  for (auto _ : state)
    benchmark::DoNotOptimize(peers::peer_message::from_json(message.to_json()));
  state.counters["bytes"] = static_cast<double>(message.to_json().size());
}
BENCHMARK(encode_exchange)->Arg(6)->Arg(60)->Arg(330);
