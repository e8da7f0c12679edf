#include "camphorlug/scheduling/scheduler_assignment.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace camphorlug;
namespace data = boost::unit_test::data;
using scheduling::scheduler_assignment;

namespace {

/// A fleet in three data centres before one engine service with two models and one plain service.
struct fleet_fixture {
  explicit fleet_fixture(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      gateway::node_status& each = nodes.emplace_back();
      each.id = "n" + std::to_string(i);
      each.data_centre = "dc-" + std::to_string(i % 3);
      each.peer_address = "peer-" + std::to_string(i);
      each.ready = true;
      each.cores = 0.3 + 0.01 * static_cast<double>(i % 7);
    }
    gateway::engine_profile engine;
    engine.models.resize(2);
    engine.models[0].name = "large";
    engine.models[1].name = "small";
    config.services["engines"].engine = engine;
    config.services["plain"];
  }

  /// The assignment that node `self` derives: its own status comes first in its list.
  scheduler_assignment derive(std::size_t self = 0) const {
    std::vector<const gateway::node_status*> live{&nodes[self]};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (i != self)
        live.push_back(&nodes[i]);
    }
    scheduler_assignment made;
    made.update(live, gateway::assign_roles(live), config);
    return made;
  }

  std::deque<gateway::node_status> nodes;
  gateway::routing_config config;
};

const gateway::target_pool large{"engines", "large"};
const gateway::target_pool small{"engines", "small"};

struct size_case {
  std::size_t nodes;
  bool schedules;
};

std::ostream& operator<<(std::ostream& out, const size_case& each) {
  return out << each.nodes;
}

const size_case size_cases[] = {{1, false}, {6, false},  {12, false},  {13, true},  {26, true},
                                {71, true}, {128, true}, {129, false}, {300, false}};

} // namespace

BOOST_DATA_TEST_CASE(engine_pools_of_middle_fleets_are_scheduled, data::make(size_cases), each) {
  const fleet_fixture fleet(each.nodes);
  const scheduler_assignment derived = fleet.derive();
  BOOST_TEST((derived.scheduler_of(large) != nullptr) == each.schedules);
  BOOST_TEST(derived.all().size() == (each.schedules ? 2u : 0u));
  BOOST_TEST(!derived.scheduler_of({"plain", ""}));
}

BOOST_DATA_TEST_CASE(models_have_different_hubs_and_all_nodes_agree, data::make({13, 26, 71, 128}),
                     count) {
  const fleet_fixture fleet(count);
  const scheduler_assignment derived = fleet.derive();
  const std::string of_large = derived.scheduler_of(large)->id;
  const std::string of_small = derived.scheduler_of(small)->id;
  BOOST_TEST(of_large != of_small);
  std::vector<const gateway::node_status*> live;
  for (const auto& each : fleet.nodes)
    live.push_back(&each);
  const gateway::fleet_roles roles = gateway::assign_roles(live);
  BOOST_TEST(roles.is_hub(of_large));
  BOOST_TEST(roles.is_hub(of_small));
  for (int self = 1; self < count; ++self) {
    BOOST_TEST(fleet.derive(self).scheduler_of(large)->id == of_large);
    BOOST_TEST(fleet.derive(self).scheduler_of(small)->id == of_small);
  }
}

/// A node of an earlier build does not ask, so its requests would not be counted.
BOOST_DATA_TEST_CASE(nobody_schedules_beside_a_node_of_an_earlier_build, data::make({0, 7, 25}),
                     old_node) {
  fleet_fixture fleet(26);
  fleet.nodes[old_node].protocol = 0;
  BOOST_TEST(fleet.derive().empty());
  fleet.nodes[old_node].protocol = gateway::scheduling_protocol + 1;
  BOOST_TEST(!fleet.derive().empty());
}

BOOST_DATA_TEST_CASE(hub_that_leaves_or_is_not_ready_hands_over_its_pools_only,
                     data::make({false, true}), leaves) {
  fleet_fixture fleet(26);
  const scheduler_assignment before = fleet.derive();
  const std::string former = before.scheduler_of(large)->id;
  for (auto& each : fleet.nodes) {
    if (each.id == former)
      (leaves ? each.leaving : each.ready) = leaves;
  }
  const scheduler_assignment after = fleet.derive();
  BOOST_REQUIRE(after.scheduler_of(large));
  BOOST_TEST(after.scheduler_of(large)->id != former);
  BOOST_TEST(after.scheduler_of(small)->id != after.scheduler_of(large)->id);
}
