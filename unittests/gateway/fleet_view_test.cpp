#include "camphorlug/gateway/fleet_roles.h"
#include "camphorlug/gateway/fleet_view.h"

#include "camphorlug/support/random_source.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Nodes of this cluster with two processor shares, as in the users' larger deployments.
gateway::node_status make_status(std::size_t index, std::size_t data_centres) {
  gateway::node_status status;
  status.id = "n" + std::to_string(index);
  status.data_centre = "dc" + std::to_string(index % data_centres);
  status.peer_address = "peer-" + std::to_string(index);
  status.cores = index / data_centres < 3 ? 0.5 : 0.12;
  status.incarnation = 1;
  status.ready = true;
  return status;
}

gateway::fleet_roles roles_of(const std::vector<gateway::node_status>& nodes) {
  std::vector<const gateway::node_status*> members;
  for (const gateway::node_status& each : nodes)
    members.push_back(&each);
  return gateway::assign_roles(members);
}

std::vector<gateway::node_status> make_nodes(std::size_t count, std::size_t data_centres) {
  std::vector<gateway::node_status> nodes;
  for (std::size_t i = 0; i < count; ++i)
    nodes.push_back(make_status(i, data_centres));
  return nodes;
}

struct role_case {
  std::size_t nodes;
  std::size_t data_centres;
  std::size_t hubs;
};

std::ostream& operator<<(std::ostream& out, const role_case& each) {
  return out << each.nodes << " nodes in " << each.data_centres;
}

const role_case role_cases[] = {
    {1, 1, 1}, {6, 3, 6}, {12, 3, 12}, {22, 5, 10}, {88, 3, 6}, {295, 5, 10}, {330, 12, 24},
};

/// One node of a simulated fleet that exchanges messages by direct calls.
struct simulated_node {
  simulated_node(support::clock& time, gateway::node_status new_status)
      : status(std::move(new_status)), loads(time), suspicions(time),
        view(time, loads, suspicions) {
    update();
  }

  void update() {
    gateway::fleet_summary summary;
    summary.loads = loads.own_loads();
    view.update_self(status, std::move(summary));
  }

  gateway::fleet_message message() {
    update();
    gateway::fleet_message made;
    made.sender = status;
    made.sequence = ++sequence;
    return made;
  }

  gateway::node_status status;
  std::uint64_t sequence = 0;
  gateway::load_tracker loads;
  gateway::suspicion_list suspicions;
  gateway::fleet_view view;
  bool alive = true;
};

/// A fleet in which random nodes die, return and lose messages.
struct simulated_fleet {
  simulated_fleet(std::size_t count, std::size_t data_centres, std::uint64_t seed) : random(seed) {
    for (std::size_t i = 0; i < count; ++i)
      nodes.push_back(std::make_unique<simulated_node>(clock, make_status(i, data_centres)));
  }

  simulated_node* find(const std::string& id) {
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const auto& each) { return each->status.id == id; });
    return (*found)->alive ? found->get() : nullptr;
  }

  bool is_lost() { return random.below(100) < losses_per_hundred; }

  void exchange_with_hub(simulated_node& node, simulated_node& hub) {
    gateway::fleet_message request = node.message();
    node.view.complete_hub_message(hub.status.id, {}, request);
    if (is_lost())
      return;
    request = gateway::fleet_message::from_json(request.to_json());
    gateway::fleet_message reply = hub.message();
    hub.view.apply_hub(request);
    hub.view.complete_hub_reply(request, reply);
    if (!is_lost())
      node.view.apply_hub(gateway::fleet_message::from_json(reply.to_json()));
  }

  /// Nodes whose addresses all nodes know from the start.
  std::vector<simulated_node*> unknown_seeds(simulated_node& node) {
    std::vector<simulated_node*> seeds;
    for (std::size_t i = 0; i < 3; ++i) {
      simulated_node* seed = nodes[i].get();
      if (seed->alive && seed != &node && !node.view.others().contains(seed->status.id))
        seeds.push_back(seed);
    }
    return seeds;
  }

  void attach(simulated_node& node, simulated_node& hub) {
    gateway::fleet_message request = node.message();
    node.view.complete_attach_request(request);
    if (is_lost())
      return;
    gateway::fleet_message reply = hub.message();
    hub.view.apply_attached(request);
    hub.view.complete_reply(request, reply);
    ++attach_requests;
    if (is_lost())
      return;
    if (node.view.is_hub())
      node.view.apply_discovery(gateway::fleet_message::from_json(reply.to_json()));
    else
      node.view.apply_reply(gateway::fleet_message::from_json(reply.to_json()));
  }

  void step_node(simulated_node& node) {
    node.update();
    node.view.expire();
    const auto hubs =
        gateway::hub_preference(node.view.roles(), node.status.id, node.status.data_centre);
    if (node.view.is_hub()) {
      for (const gateway::node_status& hub : hubs) {
        simulated_node* other = find(hub.id);
        if (other && other != &node)
          exchange_with_hub(node, *other);
      }
      for (simulated_node* seed : unknown_seeds(node))
        attach(node, *seed);
      return;
    }
    for (const gateway::node_status& hub : hubs) {
      simulated_node* other = find(hub.id);
      if (other && other != &node)
        return attach(node, *other);
    }
    for (simulated_node* seed : unknown_seeds(node))
      return attach(node, *seed);
  }

  void run_for(std::chrono::milliseconds span) {
    for (std::chrono::milliseconds passed{0}; passed < span; passed += 200ms) {
      for (auto& each : nodes) {
        if (each->alive)
          step_node(*each);
      }
      clock.run_for(200ms);
    }
  }

  std::set<std::string> alive_ids() const {
    std::set<std::string> ids;
    for (const auto& each : nodes) {
      if (each->alive)
        ids.insert(each->status.id);
    }
    return ids;
  }

  bool all_agree() {
    const std::set<std::string> expected = alive_ids();
    for (auto& each : nodes) {
      if (!each->alive)
        continue;
      std::set<std::string> seen{each->status.id};
      for (const auto& [id, other] : each->view.others())
        seen.insert(id);
      if (seen != expected)
        return false;
    }
    return true;
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random;
  std::vector<std::unique_ptr<simulated_node>> nodes;
  std::size_t losses_per_hundred = 0;
  std::size_t attach_requests = 0;
};

struct fleet_case {
  std::size_t nodes;
  std::size_t data_centres;
  std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& out, const fleet_case& each) {
  return out << each.nodes << " nodes, seed " << each.seed;
}

const fleet_case fleet_cases[] = {{3, 1, 1},  {6, 3, 2},  {13, 3, 3},
                                  {22, 5, 4}, {88, 3, 5}, {300, 5, 6}};

} // namespace

BOOST_DATA_TEST_CASE(duties_go_to_few_nodes_with_room, data::make(role_cases), each) {
  const auto nodes = make_nodes(each.nodes, each.data_centres);
  const gateway::fleet_roles roles = roles_of(nodes);
  BOOST_TEST(roles.hubs.size() == each.hubs);
  BOOST_TEST(roles.readers.size() == std::min<std::size_t>(each.nodes, 2));
  if (each.nodes > gateway::fleet_roles::max_mesh_size) {
    for (const gateway::node_status& hub : roles.hubs)
      BOOST_TEST(hub.cores == 0.5);
  }
  if (each.data_centres > 1) {
    const auto data_centre_of = [&](const std::string& id) {
      return std::find_if(nodes.begin(), nodes.end(),
                          [&](const auto& node) { return node.id == id; })
          ->data_centre;
    };
    BOOST_TEST(data_centre_of(roles.readers[0]) != data_centre_of(roles.readers[1]));
  }
}

BOOST_AUTO_TEST_CASE(nodes_that_leave_or_miss_the_store_lose_their_duties) {
  auto nodes = make_nodes(30, 3);
  const gateway::fleet_roles before = roles_of(nodes);
  for (gateway::node_status& node : nodes) {
    node.leaving = node.id == before.hubs.front().id;
    node.reaches_store = node.id != before.readers.back();
  }
  const gateway::fleet_roles after = roles_of(nodes);
  BOOST_TEST(!after.is_hub(before.hubs.front().id));
  BOOST_TEST(!after.is_reader(before.readers.back()));
  BOOST_TEST(after.readers.size() == 2);
}

// A node that makes no call to the store has no failed one either.
BOOST_AUTO_TEST_CASE(duties_go_to_nodes_that_the_store_answers) {
  auto nodes = make_nodes(12, 3);
  const gateway::fleet_roles before = roles_of(nodes);
  std::vector<std::string> shown;
  for (gateway::node_status& node : nodes) {
    if (before.is_reader(node.id)) {
      node.reaches_store = false;
    } else if (!before.is_planner(node.id) && shown.size() < 2) {
      node.shows_store = true;
      shown.push_back(node.id);
    }
  }
  const gateway::fleet_roles after = roles_of(nodes);
  for (const std::string& id : shown) {
    BOOST_TEST(after.is_reader(id));
    BOOST_TEST(after.is_planner(id));
  }
  for (const std::string& id : before.readers) {
    BOOST_TEST(!after.is_reader(id));
    BOOST_TEST(!after.is_planner(id));
  }
}

BOOST_AUTO_TEST_CASE(nodes_spread_over_the_hubs_of_their_data_centre) {
  const auto nodes = make_nodes(300, 5);
  const gateway::fleet_roles roles = roles_of(nodes);
  std::map<std::string, std::size_t> attached;
  for (const gateway::node_status& node : nodes) {
    const auto preference = gateway::hub_preference(roles, node.id, node.data_centre);
    BOOST_TEST(preference.front().data_centre == node.data_centre);
    ++attached[preference.front().id];
  }
  BOOST_TEST(attached.size() == roles.hubs.size());
  for (const auto& [hub, count] : attached)
    BOOST_TEST(count <= 2 * 300 / roles.hubs.size());
}

/// Start of all nodes, then random deaths and returns, with one message in ten lost.
BOOST_DATA_TEST_CASE(views_converge_after_random_changes, data::make(fleet_cases), each) {
  simulated_fleet fleet(each.nodes, each.data_centres, each.seed);
  fleet.run_for(3s);
  BOOST_TEST(fleet.all_agree());
  for (int round = 0; round < 5; ++round) {
    fleet.losses_per_hundred = 10;
    for (int change = 0; change < 3; ++change) {
      simulated_node& node = *fleet.nodes[fleet.random.below(each.nodes)];
      node.alive = !node.alive || fleet.alive_ids().size() < 2;
      if (node.alive)
        ++node.status.incarnation;
      fleet.run_for(400ms);
    }
    fleet.losses_per_hundred = 0;
    fleet.run_for(3s);
    BOOST_TEST(fleet.all_agree());
  }
}

BOOST_DATA_TEST_CASE(loads_of_all_nodes_add_up_at_each_node, data::make(fleet_cases), each) {
  simulated_fleet fleet(each.nodes, each.data_centres, each.seed);
  fleet.run_for(3s);
  for (auto& node : fleet.nodes)
    node->loads.add("target");
  fleet.run_for(1200ms);
  for (auto& node : fleet.nodes)
    BOOST_TEST(node->loads.in_flight("target") == each.nodes);
}

BOOST_DATA_TEST_CASE(messages_of_a_node_do_not_grow_with_the_fleet, data::make(fleet_cases), each) {
  simulated_fleet fleet(each.nodes, each.data_centres, each.seed);
  fleet.run_for(3s);
  fleet.attach_requests = 0;
  fleet.run_for(2s);
  // One request in each step of 200 ms.
  BOOST_TEST(fleet.attach_requests <= 10 * each.nodes);
  std::size_t largest = 0;
  for (auto& node : fleet.nodes) {
    gateway::fleet_message request = node->message();
    node->view.complete_attach_request(request);
    largest = std::max(largest, request.to_json().size());
  }
  BOOST_TEST(largest < 1500);
}

BOOST_AUTO_TEST_CASE(hub_that_died_is_replaced_and_its_nodes_move) {
  simulated_fleet fleet(60, 3, 1);
  fleet.run_for(3s);
  const std::string hub = fleet.nodes[40]->view.roles().hubs.front().id;
  fleet.find(hub)->alive = false;
  fleet.run_for(2200ms);
  BOOST_TEST(fleet.all_agree());
  BOOST_TEST(!fleet.nodes[40]->view.roles().is_hub(hub));
}

BOOST_AUTO_TEST_CASE(single_suspicion_in_a_large_fleet_needs_a_second_one) {
  simulated_fleet fleet(60, 3, 1);
  fleet.run_for(3s);
  simulated_node& hub = *fleet.find(fleet.nodes[40]->view.roles().hubs.front().id);
  const auto report = [&](const char* id) {
    gateway::fleet_message message;
    message.sender.id = id;
    message.sequence = 1;
    message.summary.suspects["target"] = 1;
    hub.view.apply_attached(message);
  };
  report("x1");
  BOOST_TEST(!hub.suspicions.suspected("target"));
  report("x2");
  BOOST_TEST(hub.suspicions.suspected("target"));
}
