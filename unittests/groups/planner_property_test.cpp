#include "camphorlug/groups/row_keys.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t domain_count = 3;
constexpr std::size_t instances_per_domain = 6;

/// Detects that a node routes to a group although one of its members has been
/// unavailable for longer than live_groups::max_report_age.
class complete_group_checker {
public:
  explicit complete_group_checker(fakes::simulated_cluster& world) : world_(world) {}

  bool routes_only_to_complete_groups() {
    const auto now = world_.clock.now();
    for (auto& [id, engine] : world_.fleet.engines()) {
      if (engine.alive && !engine.frozen)
        unavailable_since_.erase(id);
      else
        unavailable_since_.emplace(id, now);
    }
    for (std::size_t node = 0; node < world_.nodes.size(); ++node) {
      for (const auto& record : world_.nodes[node].node->live_groups().records()) {
        if (world_.nodes[node].node->live_groups().unroutable_reason(record).empty() &&
            has_unavailable_member(record, now))
          return false;
      }
    }
    return true;
  }

private:
  bool has_unavailable_member(const groups::group_record& record, support::clock::time_point now) {
    for (const auto& member : record.members) {
      const auto unavailable = unavailable_since_.find(member.instance);
      if (unavailable != unavailable_since_.end() && now - unavailable->second > 3s)
        return true;
    }
    return false;
  }

  fakes::simulated_cluster& world_;
  std::map<std::string, support::clock::time_point> unavailable_since_;
};

bool instances_are_exclusive(fakes::simulated_cluster& world) {
  std::set<std::string> seen;
  for (const table::row& row : world.table.rows.scan(groups::group_prefix)) {
    const auto record = groups::group_record::from_json(row.value);
    if (record.state == groups::group_state::dissolved)
      continue;
    for (const auto& member : record.members) {
      if (!seen.insert(member.instance).second)
        return false;
    }
  }
  return true;
}

void inject_random_fault(fakes::simulated_cluster& world) {
  const std::string instance =
      "r" + std::to_string(world.random.below(domain_count * instances_per_domain));
  fakes::fake_engine& engine = world.fleet.engine(instance);
  auto& node = world.nodes[world.random.below(world.nodes.size())];
  switch (world.random.below(7)) {
  case 0:
    engine.alive = !engine.alive;
    engine.report.ready = false;
    engine.report.group.clear();
    break;
  case 1:
    engine.frozen = !engine.frozen;
    break;
  case 2:
    node.store->cut = !node.store->cut;
    break;
  case 3:
    world.table.commit_answers_to_drop = 1;
    break;
  case 4:
    world.table.delay = std::chrono::milliseconds(1 + world.random.below(800));
    break;
  case 5:
    world.table.down = !world.table.down;
    break;
  case 6:
    node.list->down = !node.list->down;
    break;
  }
}

void clear_all_faults(fakes::simulated_cluster& world) {
  for (auto& [id, engine] : world.fleet.engines()) {
    engine.alive = true;
    engine.frozen = false;
  }
  for (auto& node : world.nodes) {
    node.store->cut = false;
    node.list->down = false;
  }
  world.table.down = false;
  world.table.commit_answers_to_drop = 0;
  world.table.delay = 2ms;
}

/// Injects random faults and returns the first violated invariant, or an empty
/// string.
std::string find_violation_under_faults(std::uint64_t seed) {
  fakes::simulated_cluster world(seed);
  world.add_runners(domain_count, instances_per_domain);
  world.add_nodes(3);
  world.run_for(1s);
  world.apply(fakes::model_document("", "v1", 3));
  if (!world.run_until([&world] { return world.routable(0) >= 3; }, 60s))
    return "initial groups did not become routable";
  complete_group_checker checker(world);
  for (int step = 0; step < 60; ++step) {
    if (step % 3 == 0)
      inject_random_fault(world);
    for (int check = 0; check < 10; ++check) {
      world.run_for(100ms);
      if (!checker.routes_only_to_complete_groups())
        return "routed to a group with an unavailable member";
    }
    if (!instances_are_exclusive(world))
      return "an instance is a member of two groups";
  }
  clear_all_faults(world);
  const bool recovered = world.run_until([&world] { return world.routable(0) >= 3; }, 60s);
  return recovered ? "" : "did not recover after all faults were cleared";
}

} // namespace

BOOST_AUTO_TEST_CASE(routed_groups_are_complete_and_disjoint_under_faults) {
  const bool holds = rc::check("routed groups are complete and no instance is in two groups", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string violation = find_violation_under_faults(seed);
    RC_ASSERT(violation == "");
  });
  BOOST_TEST(holds);
}
