#include "camphorlug/groups/row_keys.h"

#include "fakes/test_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t domains = 3;
constexpr std::size_t per_domain = 6;

/// Whether a group is routed to although one of its members has been away for
/// longer than the freshness of sightings.
class whole_group_observer {
public:
  explicit whole_group_observer(fakes::test_world& world) : world_(world) {}

  bool look() {
    const auto now = world_.clock.now();
    for (auto& [id, engine] : world_.fleet.engines()) {
      if (engine.alive && !engine.frozen)
        away_since_.erase(id);
      else
        away_since_.emplace(id, now);
    }
    for (std::size_t node = 0; node < world_.nodes.size(); ++node) {
      for (const auto& record : world_.nodes[node].node->live_groups().records()) {
        if (world_.nodes[node].node->live_groups().unroutable_reason(record).empty() &&
            lacks(record, now))
          return false;
      }
    }
    return true;
  }

private:
  bool lacks(const groups::group_record& record, support::clock::time_point now) {
    for (const auto& member : record.members) {
      const auto away = away_since_.find(member.instance);
      if (away != away_since_.end() && now - away->second > 3s)
        return true;
    }
    return false;
  }

  fakes::test_world& world_;
  std::map<std::string, support::clock::time_point> away_since_;
};

bool is_exclusive(fakes::test_world& world) {
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

void bring_about_fault(fakes::test_world& world) {
  const std::string instance = "r" + std::to_string(world.random.below(domains * per_domain));
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
    world.table.answers_to_lose = 1;
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

void mend_all(fakes::test_world& world) {
  for (auto& [id, engine] : world.fleet.engines()) {
    engine.alive = true;
    engine.frozen = false;
  }
  for (auto& node : world.nodes) {
    node.store->cut = false;
    node.list->down = false;
  }
  world.table.down = false;
  world.table.answers_to_lose = 0;
  world.table.delay = 2ms;
}

/// Returns what broke, or nothing.
std::string break_under_faults(std::uint64_t seed) {
  fakes::test_world world(seed);
  world.add_runners(domains, per_domain);
  world.add_nodes(3);
  world.run_for(1s);
  world.apply(fakes::model_document("", "v1", 3));
  if (!world.run_until([&world] { return world.routable(0) >= 3; }, 60s))
    return "no groups";
  whole_group_observer observer(world);
  for (int step = 0; step < 60; ++step) {
    if (step % 3 == 0)
      bring_about_fault(world);
    for (int look = 0; look < 10; ++look) {
      world.run_for(100ms);
      if (!observer.look())
        return "routed to a group without one of its members";
    }
    if (!is_exclusive(world))
      return "an instance in two groups";
  }
  mend_all(world);
  const bool recovered = world.run_until([&world] { return world.routable(0) >= 3; }, 60s);
  return recovered ? "" : "did not recover";
}

} // namespace

BOOST_AUTO_TEST_CASE(groups_are_whole_and_exclusive_under_faults) {
  const bool holds = rc::check("groups stay whole and exclusive", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const std::string broken = break_under_faults(seed);
    RC_ASSERT(broken == "");
  });
  BOOST_TEST(holds);
}
