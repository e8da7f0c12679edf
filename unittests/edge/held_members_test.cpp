#include "fakes/edge_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
using outcome = replicas::report_result::outcome;
namespace data = boost::unit_test::data;

namespace {

constexpr auto rewrite_time = 1000ms;
/// The store removes the entry of an instance that has been silent for this long.
constexpr auto entry_lifetime = 3 * rewrite_time;
constexpr std::size_t group_size = 3;
constexpr auto step = 50ms;
/// A member that left without having announced it runs for at least this long.
constexpr auto drain_time = 3s;
/// A member must have been seen within this time.
constexpr auto max_unseen_time = 3s;
/// News must reach all nodes within this time.
constexpr auto spread_time = 1s;
/// Most questions to one member in a second, also while the duty changes hands.
constexpr double max_reports_per_second = 1.5;

/// Instances with the groups `g0` and `g1`, which rewrite their entries, and nodes before them.
struct engine_world : fakes::edge_cluster {
  struct instance {
    std::string group;
    std::size_t rank = 0;
    std::int64_t started_at_ms = 100;
    /// Its entry in the store is rewritten.
    bool writes = true;
    outcome answer = outcome::answered;
    bool leaving = false;
    std::uint64_t epoch = 7;
    support::clock::time_point written_at{};
  };

  explicit engine_world(std::size_t nodes) : edge_cluster(nodes) {
    for (const char* group : {"g0", "g1"}) {
      for (std::size_t rank = 0; rank < group_size; ++rank)
        instances[member(group, rank)] = {group, rank};
    }
    orders.report_of = [this](const std::string& id) {
      const instance& each = instances.at(id);
      gateway::group_membership membership{each.group, each.epoch, each.rank};
      membership.state = gateway::membership_state::ready;
      return replicas::report_result{each.answer, {each.started_at_ms, each.leaving, membership}};
    };
    // The planner adopts the groups that it finds when it first has a configuration.
    advance(2s);
    set_config_with_engines(1, group_size);
    advance(6s);
    orders.orders.clear();
  }

  static std::string member(const std::string& group, std::size_t rank) {
    return group + "-" + std::to_string(rank);
  }

  void write(const std::string& id) {
    instance& each = instances.at(id);
    each.written_at = clock.now();
    tables.put("targets", id,
               "engines " + id + " east " + std::to_string(each.started_at_ms) + " " +
                   (each.group.empty() ? "" : each.group + " 7 " + std::to_string(each.rank)));
  }

  /// Runs the clock. Instances rewrite their entries, and the store removes those of silent ones.
  void advance(std::chrono::nanoseconds span, const std::function<void()>& check = {}) {
    for (const auto end = clock.now() + span; clock.now() < end;) {
      for (auto& [id, each] : instances) {
        const auto age = clock.now() - each.written_at;
        if (each.writes && age >= rewrite_time)
          write(id);
        const bool has_row =
            tables.tables["targets"].contains(id) && !tables.tables["targets"].at(id).deleted;
        if (!each.writes && age >= entry_lifetime && has_row && !store_is_down)
          tables.remove("targets", id);
      }
      run_for(step);
      if (check)
        check();
    }
  }

  /// Runs until the store has removed the entry of a silent instance.
  void wait_for_lapse(const std::string& id) {
    while (tables.tables["targets"].contains(id) && !tables.tables["targets"].at(id).deleted)
      advance(step);
  }

  bool serves(std::size_t node, const std::string& group) {
    const auto report = state(node);
    return std::any_of(report["groups"].begin(), report["groups"].end(),
                       [&](const auto& each) { return each["group"] == group; });
  }
  std::size_t nodes_that_serve(const std::string& group) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < edges.size(); ++i)
      count += edges[i] && serves(i, group) ? 1 : 0;
    return count;
  }
  std::size_t live_nodes() const {
    return static_cast<std::size_t>(std::count_if(
        edges.begin(), edges.end(), [](const auto& each) { return each != nullptr; }));
  }
  /// Whether a planner wanted to close a group or take a member out of it.
  bool breaks_up(const std::string& group) const {
    return std::any_of(orders.orders.begin(), orders.orders.end(), [&](const auto& order) {
      return order.kind == replicas::order_kind::close || order.kind == replicas::order_kind::leave
                 ? order.group == group
                 : order.kind == replicas::order_kind::join && order.target.starts_with(group);
    });
  }
  std::size_t leader() {
    for (std::size_t i = 0; i < edges.size(); ++i) {
      if (edges[i] && state(i)["lease"]["held_here"] == true)
        return i;
    }
    return edges.size();
  }

  std::map<std::string, instance> instances;
  bool store_is_down = false;
};

/// What happens to the member `g0-1`, and how long its group may serve after the entry is gone.
struct member_case {
  const char* name;
  std::function<void(engine_world& world, engine_world::instance& member)> begin;
  /// Nullopt if the group has to serve all the while.
  std::optional<std::chrono::milliseconds> serves_until;
};

std::ostream& operator<<(std::ostream& out, const member_case& each) {
  return out << each.name;
}

const member_case member_cases[] = {
    {"it is cut from the store alone", [](auto&, auto& member) { member.writes = false; }, {}},
    {"it crashes and its port is closed",
     [](auto&, auto& member) {
       member.writes = false;
       member.answer = outcome::refused;
     },
     spread_time},
    {"its host is lost",
     [](auto&, auto& member) {
       member.writes = false;
       member.answer = outcome::unanswered;
     },
     gateway::target_registry::first_sighting_time + spread_time},
    {"it leaves without having announced it",
     [](auto& world, auto& member) {
       world.advance(300ms);
       member.writes = false;
       member.leaving = true;
       world.tables.remove("targets", "g0-1");
     },
     spread_time},
    {"it leaves and says so when it is asked",
     [](auto&, auto& member) {
       member.writes = false;
       member.leaving = true;
     },
     spread_time},
    {"another process runs under its address",
     [](auto&, auto& member) {
       member.writes = false;
       member.started_at_ms = 200;
     },
     spread_time},
    {"it has joined the group anew",
     [](auto&, auto& member) {
       member.writes = false;
       member.epoch = 8;
     },
     spread_time},
};

constexpr std::size_t fleet_sizes[] = {1, 6, 20};

} // namespace

BOOST_DATA_TEST_CASE(group_serves_while_its_member_is_seen,
                     data::make(member_cases) * data::make(fleet_sizes), each, nodes) {
  engine_world world(nodes);
  BOOST_TEST_REQUIRE(world.nodes_that_serve("g0") == nodes);
  each.begin(world, world.instances.at("g0-1"));
  world.wait_for_lapse("g0-1");
  const auto lapsed_at = world.clock.now();
  world.advance(8s, [&] {
    const auto passed = world.clock.now() - lapsed_at;
    if (!each.serves_until && passed > spread_time)
      BOOST_TEST(world.nodes_that_serve("g0") == nodes);
    else if (each.serves_until && passed > *each.serves_until)
      BOOST_TEST(world.nodes_that_serve("g0") == 0);
    BOOST_TEST(world.nodes_that_serve("g1") == nodes);
  });
  if (each.serves_until)
    BOOST_TEST((*each.serves_until < drain_time));
  else
    BOOST_TEST(!world.breaks_up("g0"));
  BOOST_TEST(!world.breaks_up("g1"));
  BOOST_TEST(world.orders.reports <= 8 * max_reports_per_second);
}

BOOST_DATA_TEST_CASE(group_stops_when_its_member_is_seen_no_longer, data::make(fleet_sizes),
                     nodes) {
  engine_world world(nodes);
  world.instances.at("g0-1").writes = false;
  world.wait_for_lapse("g0-1");
  world.advance(4s);
  world.instances.at("g0-1").answer = outcome::unanswered;
  world.advance(max_unseen_time + 100ms);
  BOOST_TEST(world.nodes_that_serve("g0") == 0);
}

BOOST_DATA_TEST_CASE(group_goes_on_when_the_entry_is_back, data::make(fleet_sizes), nodes) {
  engine_world world(nodes);
  world.instances.at("g0-1").writes = false;
  world.wait_for_lapse("g0-1");
  world.advance(4s);
  world.instances.at("g0-1").writes = true;
  world.advance(500ms);
  const std::size_t before = world.orders.reports;
  world.advance(6s, [&] { BOOST_TEST(world.nodes_that_serve("g0") == nodes); });
  // One may have been due just before the entry came back.
  BOOST_TEST(world.orders.reports <= before + 1);
  BOOST_TEST(!world.breaks_up("g0"));
}

BOOST_DATA_TEST_CASE(group_stops_when_the_head_is_removed, data::make(fleet_sizes), nodes) {
  engine_world world(nodes);
  world.instances.at("g0-0").writes = false;
  world.wait_for_lapse("g0-0");
  world.advance(spread_time);
  BOOST_TEST(world.nodes_that_serve("g0") == 0);
  BOOST_TEST(world.orders.reports == 0);
}

namespace {

/// A failure beside that of the member, while the member is cut from the store.
struct side_failure {
  const char* name;
  std::function<void(engine_world& world)> begin;
};

std::ostream& operator<<(std::ostream& out, const side_failure& each) {
  return out << each.name;
}

const side_failure side_failures[] = {
    {"the planner ends", [](engine_world& world) { world.kill(world.leader()); }},
    {"the planner is replaced",
     [](engine_world& world) {
       const std::size_t leader = world.leader();
       world.kill(leader);
       world.start(leader);
     }},
    {"the node that asks members is cut from the targets",
     [](engine_world& world) {
       const std::string asking = world.orders.last_reporter;
       world.orders.is_cut_off = [asking](const std::string& node) { return node == asking; };
     }},
    {"the store is down for all nodes",
     [](engine_world& world) {
       world.store_is_down = true;
       for (std::size_t i = 0; i < world.edges.size(); ++i)
         world.cut_store(i, true);
     }},
    {"one node is cut from the store", [](engine_world& world) { world.cut_store(0, true); }},
};

constexpr std::size_t larger_fleet_sizes[] = {6, 20};

} // namespace

BOOST_DATA_TEST_CASE(group_serves_through_another_failure,
                     data::make(side_failures) * data::make(larger_fleet_sizes), each, nodes) {
  engine_world world(nodes);
  world.instances.at("g0-1").writes = false;
  world.wait_for_lapse("g0-1");
  world.advance(2s);
  BOOST_TEST_REQUIRE(world.nodes_that_serve("g0") == nodes);
  const std::set<std::string> starting = {world.edges[world.leader()]->peer_address};
  each.begin(world);
  world.advance(6s, [&] {
    for (std::size_t i = 0; i < nodes; ++i) {
      // A node that starts anew has never seen the entry.
      const bool is_new = world.edges[i] && starting.contains(world.edges[i]->peer_address);
      if (world.edges[i] && !is_new)
        BOOST_TEST(world.serves(i, "g0"));
    }
  });
  BOOST_TEST(!world.breaks_up("g0"));
}

BOOST_DATA_TEST_CASE(nodes_of_an_earlier_build_stop_alone, data::make(larger_fleet_sizes), nodes) {
  engine_world world(nodes);
  // Not the hub from which others hear of sightings.
  const std::size_t earlier = nodes - 1;
  world.network.without_sightings.insert(world.edges[earlier]->peer_address);
  world.instances.at("g0-1").writes = false;
  world.wait_for_lapse("g0-1");
  world.advance(gateway::target_registry::first_sighting_time + spread_time);
  world.advance(4s, [&] {
    BOOST_TEST(world.nodes_that_serve("g0") == nodes - 1);
    BOOST_TEST(!world.serves(earlier, "g0"));
  });
  BOOST_TEST(world.nodes_that_serve("g1") == nodes);
}
