#include "camphorlug/groups/row_keys.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct planner_fixture : fakes::simulated_cluster {
  planner_fixture(std::size_t domains, std::size_t per_domain, std::size_t replicas,
                  std::uint64_t seed = 1, std::size_t node_count = 3)
      : simulated_cluster(seed) {
    add_runners(domains, per_domain);
    add_nodes(node_count);
    run_for(1s);
    apply(fakes::model_document("", "v1", replicas));
    BOOST_REQUIRE(run_until([this, replicas] { return routable(0) >= replicas; }, 60s));
  }

  std::size_t leader() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (const auto& status : nodes[i].node->planner_statuses()) {
        if (status.leads)
          return i;
      }
    }
    return nodes.size();
  }

  std::vector<groups::group_record> records(std::size_t node = 0) {
    return nodes[node].node->live_groups().records();
  }

  std::string member_of_first_group(std::size_t rank) {
    return records().front().members.at(rank).instance;
  }

  /// Checks in the table's rows that no instance is a member of two groups that are
  /// not dissolved.
  bool instances_are_exclusive() {
    std::set<std::string> seen;
    for (const table::row& row : table.rows.scan(groups::group_prefix)) {
      const auto record = groups::group_record::from_json(row.value);
      if (record.state == groups::group_state::dissolved)
        continue;
      for (const targets::group_member& member : record.members) {
        if (!seen.insert(member.instance).second)
          return false;
      }
    }
    return true;
  }

  /// Checks that no instance row assigns an instance that no group lists.
  bool no_instance_is_leaked() {
    std::set<std::string> listed;
    for (const table::row& row : table.rows.scan(groups::group_prefix)) {
      const auto record = groups::group_record::from_json(row.value);
      if (record.state == groups::group_state::dissolved)
        continue;
      for (const targets::group_member& member : record.members)
        listed.insert(member.instance);
      for (const groups::group_standby& standby : record.standbys)
        listed.insert(standby.member.instance);
    }
    for (const table::row& row : table.rows.scan("instance/runners/")) {
      if (!listed.contains(row.key.substr(std::string("instance/runners/").size())))
        return false;
    }
    return true;
  }

  /// Checks that the numbers of the orders that each number-checking engine accepted never
  /// decrease.
  bool order_numbers_never_decrease() {
    for (auto& [id, engine] : fleet.engines()) {
      std::uint64_t last = 0;
      for (const auto& order : engine.orders) {
        if (engine.checks_numbers && order.number < last)
          return false;
        last = order.number;
      }
    }
    return true;
  }

  bool invariants_hold() {
    return instances_are_exclusive() && no_instance_is_leaked() && order_numbers_never_decrease();
  }
};

constexpr auto load_time = 5s;
/// 4 s for detection, the load time and 3 s that are allowed on top.
constexpr auto repair_bound = 4s + load_time + 3s;

} // namespace

BOOST_DATA_TEST_CASE(failed_member_is_removed_from_routing_and_replaced, data::make({0, 1, 2, 3}),
                     rank) {
  planner_fixture world(1, 5, 1);
  const std::string failed = world.member_of_first_group(rank);
  world.fleet.engine(failed).alive = false;
  world.run_for(3s);
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    for (const auto& target : *world.nodes[node].node->live_groups().targets("model"))
      BOOST_TEST(target.address != failed + ":1");
  }
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, repair_bound));
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(no_node_routes_to_group_with_frozen_member_after_three_seconds) {
  planner_fixture world(1, 4, 1);
  world.fleet.engine(world.member_of_first_group(2)).frozen = true;
  const auto stopped = [&] {
    return world.routable(0) + world.routable(1) + world.routable(2) == 0;
  };
  BOOST_TEST(world.run_until(stopped, 3s + 100ms));
}

BOOST_AUTO_TEST_CASE(short_pause_causes_no_reload) {
  planner_fixture world(1, 5, 1);
  const auto before = world.records().front();
  fakes::fake_engine& paused = world.fleet.engine(before.members[1].instance);
  paused.frozen = true;
  world.run_for(2s);
  paused.frozen = false;
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, 2s));
  BOOST_TEST(world.records().front().number == before.number);
}

BOOST_AUTO_TEST_CASE(survivors_of_two_incomplete_groups_form_one_group) {
  planner_fixture world(1, 8, 2);
  for (const auto& record : world.records())
    world.fleet.engine(record.members[3].instance).alive = false;
  world.run_for(1s);
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, repair_bound));
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(failed_domain_is_replaced_elsewhere_and_recovers) {
  planner_fixture world(3, 4, 2);
  const std::string failed_domain = world.records().front().fabric_domain;
  const auto set_alive = [&](bool alive) {
    for (auto& [id, listed] : world.fleet.listed()) {
      if (listed.fabric_domain == failed_domain)
        world.fleet.engine(id).alive = alive;
    }
  };
  set_alive(false);
  BOOST_TEST(world.run_until([&] { return world.routable(0) >= 2; }, repair_bound));
  set_alive(true);
  world.run_for(30s);
  BOOST_TEST(world.routable(0) >= 2);
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(leaving_member_gets_no_new_requests_and_is_replaced) {
  planner_fixture world(1, 5, 1);
  const std::string leaving = world.member_of_first_group(1);
  world.fleet.listed().at(leaving).leaving = true;
  world.run_for(3s);
  BOOST_TEST(world.routable(0) == 0);
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, repair_bound + 4s));
  const auto record = world.records().front();
  for (const auto& member : record.members)
    BOOST_TEST(member.instance != leaving);
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(instance_replaced_under_a_new_name_at_the_same_address) {
  planner_fixture world(1, 4, 1);
  const std::string old = world.member_of_first_group(2);
  table::listed_instance listed = world.fleet.listed().at(old);
  world.fleet.listed().erase(old);
  world.fleet.engines().erase(old);
  listed.id = "new";
  world.fleet.add(listed);
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, repair_bound));
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(failed_leader_is_succeeded_without_group_downtime) {
  planner_fixture world(1, 5, 1);
  const std::size_t leader = world.leader();
  const std::size_t other = leader == 0 ? 1 : 0;
  world.kill_node(leader);
  const bool kept_serving = !world.run_until([&] { return world.routable(other) == 0; }, 8s);
  BOOST_TEST(kept_serving);
  const auto succeeded = [&] {
    for (const auto& status : world.nodes[other].node->planner_statuses())
      return !status.leader.empty() && status.leader != world.nodes[leader].node->settings().id;
    return false;
  };
  BOOST_TEST(world.run_until(succeeded, 4s));
  world.fleet.engine(world.member_of_first_group(0)).alive = false;
  world.run_for(1s);
  BOOST_TEST(world.run_until([&] { return world.routable(other) == 1; }, repair_bound));
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(lost_commit_responses_cause_no_double_membership) {
  planner_fixture world(2, 6, 2);
  for (int round = 0; round < 5; ++round) {
    world.table.commit_answers_to_drop = 2;
    const auto records = world.records();
    world.fleet.engine(records[round % records.size()].members[0].instance).alive = false;
    world.run_for(20s);
    for (auto& [id, engine] : world.fleet.engines())
      engine.alive = true;
    world.run_for(20s);
    BOOST_TEST(world.invariants_hold());
  }
  BOOST_TEST(world.run_until([&] { return world.routable(0) >= 2; }, 30s));
}

BOOST_AUTO_TEST_CASE(store_outage_of_minutes_keeps_complete_groups_routable) {
  planner_fixture world(2, 4, 2);
  world.table.down = true;
  world.run_for(3min);
  BOOST_TEST(world.routable(0) == 2);
  world.fleet.engine(world.member_of_first_group(0)).alive = false;
  world.run_for(10s);
  BOOST_TEST(world.routable(0) == 1);
  world.table.down = false;
  world.fleet.engine(world.member_of_first_group(0)).alive = true;
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 2; }, 12s + repair_bound));
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(stale_order_at_engine_without_number_check_is_corrected) {
  planner_fixture world(1, 4, 1);
  fakes::fake_engine& engine = world.fleet.engine(world.member_of_first_group(1));
  engine.checks_numbers = false;
  engine.report.number = 1;
  engine.report.group = "g-dissolved";
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 0; }, 3s));
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, 10s));
}

BOOST_AUTO_TEST_CASE(rolling_update_leaves_at_most_one_group_unavailable) {
  planner_fixture world(3, 8, 4);
  BOOST_REQUIRE(world.run_until([&] { return world.routable(0) >= 4; }, 60s));
  world.apply(fakes::model_document("", "v2", 4));
  std::size_t fewest = 100;
  const auto all_new = [&] {
    fewest = std::min(fewest, world.routable(0));
    for (const auto& record : world.records()) {
      if (record.version != "v2" || record.state != groups::group_state::serving)
        return false;
    }
    return world.routable(0) >= 4;
  };
  BOOST_TEST(world.run_until(all_new, 10min));
  BOOST_TEST(fewest >= 4 - 1);
  BOOST_TEST(world.invariants_hold());
}

BOOST_AUTO_TEST_CASE(planners_leave_instances_of_other_pools_alone) {
  fakes::simulated_cluster world;
  world.add_runners(2, 4);
  for (int index = 0; index < 4; ++index)
    world.fleet.listed().at("r" + std::to_string(index)).pool = "others";
  world.add_nodes(3);
  world.run_for(1s);
  world.apply(fakes::model_document("", "v1", 1));
  std::string other = fakes::model_document("", "v1", 1);
  other.replace(other.find("\"model\""), 7, "\"other\"");
  other.replace(other.find("\"runners\""), 9, "\"others\"");
  world.apply(other);
  const auto both_serve = [&] { return world.routable(0) == 1 && world.routable(0, "other") == 1; };
  BOOST_TEST(world.run_until(both_serve, 30s));
  world.run_for(60s);
  BOOST_TEST(both_serve());
  for (auto& [id, engine] : world.fleet.engines()) {
    const bool released =
        std::any_of(engine.orders.begin(), engine.orders.end(), [](const auto& order) {
          return order.action == targets::order_action::release;
        });
    BOOST_TEST(!released, id);
  }
}

BOOST_AUTO_TEST_CASE(order_is_sent_again_after_an_unexpected_exception) {
  fakes::simulated_cluster world;
  world.add_runners(1, 4);
  world.add_nodes(1);
  world.run_for(1s);
  world.nodes[0].targets->order_exceptions = 1;
  world.apply(fakes::model_document("", "v1", 1));
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 1; }, 30s));
  BOOST_TEST(world.nodes[0].targets->order_exceptions == 0);
}

namespace {

struct row_text {
  const char* key;
  const char* value;
};

std::ostream& operator<<(std::ostream& out, const row_text& row) {
  return out << row.key << " = " << row.value;
}

const row_text malformed_rows[] = {
    {"group/runners/g-malformed", "{"},
    {"group/runners/g-malformed",
     R"({"id":"g-malformed","service":"model","pool":"runners","state":"odd","model":"m",)"
     R"("version":"v1","fabric_domain":"f0","data_centre":"dc0","members":[],"standbys":[],)"
     R"("number":1,"reason":""})"},
    {"group/runners/g-malformed",
     R"({"id":"g-malformed","service":"model","pool":"runners","state":"serving","model":"m",)"
     R"("version":"v1","fabric_domain":"f0","data_centre":"dc0","members":[],"standbys":[],)"
     R"("number":1,"reason":""})"},
    {"instance/runners/r8", "{"},
    {"instance/runners/r8", R"({"group":7})"},
    {"instance/runners/r8", "[]"},
};

} // namespace

BOOST_DATA_TEST_CASE(malformed_row_does_not_end_planning, data::make(malformed_rows), row) {
  fakes::simulated_cluster world;
  world.add_runners(1, 9);
  world.add_nodes(1);
  world.table.rows.commit({{}, {{row.key, row.value}}});
  world.run_for(1s);
  world.apply(fakes::model_document("", "v1", 2));
  BOOST_TEST(world.run_until([&] { return world.routable(0) == 2; }, 30s));
  for (const auto& record : world.nodes[0].node->live_groups().records()) {
    for (const auto& member : record.members)
      BOOST_TEST((member.instance != "r8" || std::string(row.key) != "instance/runners/r8"));
  }
}
