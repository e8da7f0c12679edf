#include "camphorlug/replicas/replica_planner.h"
#include "camphorlug/scheduling/pool_scheduler.h"

#include "fakes/emulated_pool.h"
#include "fakes/gateway_fixture.h"

#include <benchmark/benchmark.h>

using namespace camphorlug;
using namespace std::chrono_literals;

static constexpr std::size_t slots = 17;
static constexpr std::size_t instances_per_domain = 20;
static const gateway::target_pool pool{"shop", ""};

/// Requests in progress at one peer, each at a different target. A node of the planned
/// deployment has about this many.
static constexpr std::size_t requests_per_peer = 30;

/// Creates a gateway with the given number of targets and a fifth as many peers, whose
/// requests occupy a third of the slots.
static std::unique_ptr<fakes::gateway_fixture> make_gateway(std::size_t targets) {
  auto fixture = std::make_unique<fakes::gateway_fixture>();
  for (std::size_t i = 0; i < targets; ++i)
    fixture->add_target("t" + std::to_string(i), slots);
  for (std::size_t peer = 0; peer < targets / 5; ++peer) {
    gateway::target_loads loads;
    for (std::size_t i = 0; i < requests_per_peer; ++i)
      ++loads["t" + std::to_string((peer * requests_per_peer + i) % targets)];
    fixture->loads.update_peer("p" + std::to_string(peer), std::move(loads));
  }
  return fixture;
}

/// Measures choosing the target of a request; the argument is the number of targets.
static void choose_target(benchmark::State& state) {
  const auto fixture = make_gateway(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state)
    benchmark::DoNotOptimize(fixture->chooser.choose(pool, {}));
}
BENCHMARK(choose_target)->Arg(16)->Arg(160)->Arg(1600);

/// Measures estimating the wait of a request; the argument is the number of targets.
static void expect_wait(benchmark::State& state) {
  const auto fixture = make_gateway(static_cast<std::size_t>(state.range(0)));
  const gateway::queue_rank rank{5, fixture->clock.now() + 1s};
  for (auto _ : state)
    benchmark::DoNotOptimize(fixture->queue.expected_wait(pool, rank));
}
BENCHMARK(expect_wait)->Arg(16)->Arg(160)->Arg(1600);

/// Measures planning in the usual state, in which all groups serve; the argument is the number
/// of instances.
static void plan_groups(benchmark::State& state) {
  asio::io_context context;
  support::virtual_clock clock(context);
  const gateway::engine_profile engine = fakes::two_model_engine();
  fakes::emulated_pool pool_of_instances(clock, engine, 1);
  const auto instances = static_cast<std::size_t>(state.range(0));
  for (std::size_t i = 0; i < instances; ++i)
    pool_of_instances.add("i" + std::to_string(i), "d" + std::to_string(i / instances_per_domain));
  replicas::replica_planner planner(clock, "engines");
  planner.begin_term(1, true);
  const auto plan = [&](const auto& entries) {
    return planner.plan({engine, entries, pool_of_instances.traffic, {}});
  };
  for (int step = 0; step < 100; ++step) {
    clock.run_for(100ms);
    pool_of_instances.advance();
    const auto entries = pool_of_instances.entries();
    for (const replicas::replica_order& order : plan(entries))
      planner.record_order_result(order, pool_of_instances.submit(order));
  }
  pool_of_instances.traffic = true;
  const auto entries = pool_of_instances.entries();
  for (auto _ : state)
    benchmark::DoNotOptimize(plan(entries));
}
BENCHMARK(plan_groups)->Arg(60)->Arg(600)->Arg(6000)->Unit(benchmark::kMicrosecond);

/// Measures a request's slot at the scheduler while no request waits and half of the slots are in
/// use; the argument is the number of targets.
static void schedule_slot(benchmark::State& state) {
  asio::io_context context;
  support::virtual_clock clock(context);
  scheduling::pool_scheduler scheduler(clock);
  const auto count = static_cast<std::size_t>(state.range(0));
  std::vector<scheduling::schedulable_target> targets(count);
  for (std::size_t i = 0; i < count; ++i) {
    targets[i].target.id = "t" + std::to_string(i);
    targets[i].target.slots = slots;
    targets[i].data_centre = "dc-" + std::to_string(i % 3);
  }
  scheduler.set_targets(targets, 50'000);
  std::size_t next = 0;
  scheduling::slot_ask ask;
  ask.data_centre = "dc-0";
  ask.in_time_until = ask.latest_start = clock.now() + 10s;
  // The clock stands still, so that all tokens of the run stay unread.
  ask.prompt_tokens = 0.001;
  std::string granted;
  const auto submit = [&] {
    ask.node = "n" + std::to_string(next % (count + 11));
    ask.organisation = "o" + std::to_string(next++ % 24);
    scheduler.submit(ask, [&](const auto& decided) { granted = decided.target.id; });
  };
  for (std::size_t i = 0; i < count * slots / 2; ++i) {
    submit();
    clock.run_for(1ms);
  }
  for (auto _ : state) {
    submit();
    scheduler.release(ask.node, granted);
  }
}
BENCHMARK(schedule_slot)->Arg(60)->Arg(600)->Arg(3000);

/// Measures a request's slot at the scheduler of `count` targets while requests wait and no slot is
/// free.
static void schedule_behind(benchmark::State& state, std::size_t count, std::size_t waiting) {
  asio::io_context context;
  support::virtual_clock clock(context);
  scheduling::pool_scheduler scheduler(clock);
  std::vector<scheduling::schedulable_target> targets(count);
  for (std::size_t i = 0; i < count; ++i) {
    targets[i].target.id = "t" + std::to_string(i);
    targets[i].target.slots = slots;
  }
  scheduler.set_targets(targets, 0);
  std::size_t next = 0;
  scheduling::slot_ask ask;
  ask.node = "n0";
  ask.in_time_until = ask.latest_start = clock.now() + std::chrono::hours(1);
  std::vector<std::string> granted;
  const auto submit = [&] {
    ask.organisation = "o" + std::to_string(next++ % 24);
    scheduler.submit(ask, [&](const auto& decided) { granted.push_back(decided.target.id); });
  };
  for (std::size_t i = 0; i < count * slots + waiting; ++i)
    submit();
  for (auto _ : state) {
    submit();
    const std::string ended = granted.back();
    granted.pop_back();
    scheduler.release(ask.node, ended);
  }
}

/// While 200 requests wait; the argument is the number of targets.
static void schedule_scarce_slot(benchmark::State& state) {
  schedule_behind(state, static_cast<std::size_t>(state.range(0)), 200);
}
BENCHMARK(schedule_scarce_slot)->Arg(60)->Arg(600)->Arg(3000);

/// Before 300 targets; the argument is the number of waiting requests.
static void schedule_behind_waiting(benchmark::State& state) {
  schedule_behind(state, 300, static_cast<std::size_t>(state.range(0)));
}
BENCHMARK(schedule_behind_waiting)->Arg(200)->Arg(2000);
