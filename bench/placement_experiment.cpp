#include "camphorlug/groups/domain_placement.h"

#include "replay/baseline_placements.h"
#include "replay/pool_replay.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>

DEFINE_string(traces, "bench/traces", "directory of the traces");
DEFINE_bool(large, true, "also replay the trace of 6,500 instances");
DEFINE_bool(write_traces, false, "regenerate the traces from their seeds");

namespace camphorlug::replay {

/// A trace and the pool that it applies to.
struct experiment {
  const char* name;
  pool_shape shape;
  std::size_t replicas;
  std::size_t concurrent_loads;
  std::function<std::vector<replay_event>(const pool_shape&)> make_trace;
};

static constexpr std::size_t span = 4;
static constexpr std::size_t max_small_pool_instances = 1000;

static std::vector<experiment> experiments() {
  const pool_shape small_pool{3, 20};
  const pool_shape large_pool{65, 100};
  // The event rates of the users' requirements for 6,500 instances (55 failures, 520 replacements
  // and 200 freezes a day); failures and replacements scaled to 60 instances, over twenty days.
  const trace_rates scaled{std::chrono::hours(480), 55.0 * 60 / 6500, 520.0 * 60 / 6500, 2};
  // A quarter of a day at the required rates for 6,500 instances.
  const trace_rates full_scale{std::chrono::hours(6), 55, 520, 200};
  return {
      {"days-60", small_pool, 14, 8,
       [scaled](const auto& shape) { return make_random_faults(shape, scaled, 1); }},
      {"outage-60", small_pool, 10, 8, [](const auto& shape) { return make_domain_outage(shape); }},
      {"switch-60", small_pool, 12, 8,
       [](const auto& shape) { return make_switch_failure(shape); }},
      {"rolling-60", small_pool, 14, 8,
       [](const auto& shape) { return make_rolling_replacement(shape); }},
      {"rollout-60", small_pool, 14, 8, [](const auto&) { return make_version_rollout(); }},
      {"quarter-day-6500", large_pool, 1600, 64,
       [full_scale](const auto& shape) { return make_random_faults(shape, full_scale, 1); }},
  };
}

static documents::model_spec spec_for(const experiment& each,
                                      documents::placement_objective optimize_for) {
  documents::model_spec spec;
  spec.name = "m";
  spec.version = "v1";
  spec.replicas = each.replicas;
  spec.span = span;
  spec.optimize_for = optimize_for;
  spec.concurrent_loads = each.concurrent_loads;
  return spec;
}

static void write_trace(const experiment& each, const std::string& path) {
  std::ofstream file(path);
  for (const replay_event& event : each.make_trace(each.shape))
    file << event.to_json() << "\n";
}

static void report(const experiment& each, const char* policy_name,
                   const groups::placement_policy& policy,
                   documents::placement_objective optimize_for,
                   const std::vector<replay_event>& events) {
  pool_replay replay(policy, spec_for(each, optimize_for), each.shape, {});
  const replay_result result = replay.run(events);
  std::printf("| %s | %s | %.0f | %.0f | %.0f | %zu | %zu |\n", each.name, policy_name,
              result.group_downtime_s, result.stranded_instance_s, result.unavoidable_stranded_s,
              result.loads, result.steps);
  std::fflush(stdout);
}

static int run() {
  std::printf("| trace | policy | group downtime s | stranded instance-s | of them unavoidable "
              "| loads | steps |\n|---|---|---|---|---|---|---|\n");
  const groups::domain_placement placement;
  const in_place_placement in_place;
  const re_form_placement re_form;
  for (const experiment& each : experiments()) {
    if (each.shape.instances() > max_small_pool_instances && !FLAGS_large)
      continue;
    const std::string path = FLAGS_traces + "/" + each.name + ".jsonl";
    if (FLAGS_write_traces)
      write_trace(each, path);
    const auto events = read_trace(path);
    report(each, "uptime", placement, documents::placement_objective::uptime, events);
    report(each, "utilisation", placement, documents::placement_objective::utilisation, events);
    report(each, "repair in place", in_place, documents::placement_objective::uptime, events);
    report(each, "dissolve and re-form", re_form, documents::placement_objective::uptime, events);
  }
  return 0;
}

} // namespace camphorlug::replay

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphorlug::replay::run();
}
