#include "fakes/gateway_fixture.h"
#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// The operator's rule: the last request reaches a target there this long after the announcement.
constexpr std::chrono::nanoseconds time_limit = fakes::evacuation_time_limit;
/// News must reach all nodes within this time.
constexpr auto spread_time = 1s;
/// Whatever happens meanwhile, requests are still sent for this long.
constexpr auto observed_after = 12s;
constexpr auto send_interval = 20ms;
constexpr std::size_t targets_per_data_centre = 8;
/// Of the callers, while the capacity elsewhere suffices.
constexpr double min_served = 0.99;

/// Nodes in two data centres before targets in three, with callers.
struct evacuated_world : fakes::tainted_fleet {
  explicit evacuated_world(std::size_t nodes, std::uint64_t seed = 1)
      : tainted_fleet(nodes, 0, seed) {
    side.on_crash = {};
    for (const char* data_centre : {"east", "west", "south"}) {
      for (std::size_t i = 0; i < targets_per_data_centre; ++i)
        add_target(std::string(data_centre) + "-" + std::to_string(i), data_centre);
    }
    run_for(3s);
  }

  static bool is_in(const std::string& target, const std::string& data_centre) {
    return target.starts_with(data_centre + "-");
  }

  void announce(const std::string& data_centre) {
    evacuate(data_centre);
    announced[data_centre] = clock.now();
  }
  void take_back(const std::string& data_centre) {
    check();
    end_evacuation(data_centre);
    announced.erase(data_centre);
  }

  void send_to_random_node() {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < edges.size(); ++i) {
      if (edges[i] && edges[i]->node->ready())
        running.push_back(i);
    }
    if (running.empty())
      return;
    const char* paths[] = {"/plain/x", "/stream/x", "/once/x"};
    net::server_request request;
    request.method = "POST";
    request.path = paths[random.below(std::size(paths))];
    request.body = "body of " + std::to_string(callers.size());
    send(running[random.below(running.size())], std::move(request), false);
  }

  void serve_for(std::chrono::nanoseconds span) {
    for (std::chrono::nanoseconds passed{0}; passed < span; passed += send_interval) {
      send_to_random_node();
      run_for(send_interval);
    }
    check();
  }

  /// Checks all arrivals since the last call.
  void check() {
    for (; checked < side.arrivals.size(); ++checked) {
      const auto& arrival = side.arrivals[checked];
      const auto out = out_of_touch.find(arrival.node);
      if (out != out_of_touch.end() && (!out->second || arrival.at <= *out->second))
        continue;
      for (const auto& [data_centre, at] : announced)
        late += is_in(arrival.target, data_centre) && arrival.at > at + time_limit ? 1 : 0;
    }
  }

  std::size_t arrivals_in(const std::string& data_centre, support::clock::time_point since) const {
    return std::count_if(side.arrivals.begin(), side.arrivals.end(), [&](const auto& each) {
      return each.at >= since && is_in(each.target, data_centre);
    });
  }

  std::map<std::string, support::clock::time_point> announced;
  /// Nodes that nothing tells the news, with the time from which on they must know it.
  std::map<std::string, std::optional<support::clock::time_point>> out_of_touch;
  std::size_t checked = 0;
  /// Requests that arrived after the time limit.
  std::size_t late = 0;
};

struct evacuation_case {
  const char* name;
  std::size_t nodes;
  void (*before)(evacuated_world&);
  void (*after)(evacuated_world&);
};

std::ostream& operator<<(std::ostream& out, const evacuation_case& each) {
  return out << each.name;
}

void do_nothing(evacuated_world&) {}

const std::vector<evacuation_case> cases = {
    {"nothing else happens", 6, do_nothing, do_nothing},
    {"a single node", 1, do_nothing, do_nothing},
    {"many nodes", 71, do_nothing, do_nothing},
    {"a node is cut from the store", 6, [](evacuated_world& world) { world.cut_store(2, true); },
     do_nothing},
    {"all nodes but one are cut from the store", 6,
     [](evacuated_world& world) {
       for (std::size_t i = 0; i < 5; ++i)
         world.cut_store(i, true);
     },
     do_nothing},
    {"a node starts during the evacuation", 6, [](evacuated_world& world) { world.kill(2); },
     [](evacuated_world& world) { world.start(2); }},
    {"a node starts after the limit without the store", 6,
     [](evacuated_world& world) { world.kill(2); },
     [](evacuated_world& world) {
       world.serve_for(5s);
       world.start(2);
       world.cut_store(2, true);
     }},
    {"all nodes restart", 6, do_nothing,
     [](evacuated_world& world) {
       world.serve_for(1s);
       for (std::size_t i = 0; i < world.edges.size(); ++i)
         world.kill(i);
       for (std::size_t i = 0; i < world.edges.size(); ++i)
         world.start(i);
       world.run_for(3s);
     }},
    {"a node's requests are relayed", 6,
     [](evacuated_world& world) {
       world.side.cut_off("peer-2", fakes::faulty_targets::cut_kind::hang);
       world.serve_for(3s);
     },
     do_nothing},
    {"a node was cut off", 6,
     [](evacuated_world& world) {
       world.network.cut.insert("peer-2");
       world.cut_store(2, true);
       world.out_of_touch["peer-2"] = std::nullopt;
     },
     [](evacuated_world& world) {
       world.serve_for(7s);
       world.network.cut.erase("peer-2");
       world.cut_store(2, false);
       world.out_of_touch["peer-2"] = world.clock.now() + spread_time;
     }},
    {"the store is restored from an older copy", 6, do_nothing,
     [](evacuated_world& world) {
       auto copy = world.copy_store();
       copy.tables.tables["config"].erase("evacuate/east");
       --copy.tables.version;
       world.serve_for(2s);
       world.restore_store(std::move(copy), 4s);
     }},
    {"another data centre is lost", 6, do_nothing,
     [](evacuated_world& world) {
       world.serve_for(1s);
       for (std::size_t i = 0; i < targets_per_data_centre; ++i)
         world.side.crash("south-" + std::to_string(i));
     }},
    {"another one follows", 6, do_nothing,
     [](evacuated_world& world) {
       world.serve_for(3s);
       world.announce("south");
     }},
};

bool random_history_sends_nothing_late(std::uint64_t seed) {
  constexpr std::size_t nodes = 5;
  evacuated_world world(nodes, seed);
  std::mt19937_64 faults(seed);
  std::set<std::size_t> cut;
  const char* places[] = {"east", "south"};
  for (int step = 0; step < 8; ++step) {
    // Node 0 keeps its process and the store, so that somebody learns the news.
    const std::size_t node = 1 + faults() % (nodes - 1);
    const std::string place = places[faults() % 2];
    switch (faults() % 4) {
    case 0:
      if (world.announced.contains(place))
        world.take_back(place);
      else
        world.announce(place);
      break;
    case 1:
      world.kill(node);
      world.start(node);
      world.cut_store(node, cut.contains(node));
      break;
    case 2:
      if (!cut.insert(node).second)
        cut.erase(node);
      world.cut_store(node, cut.contains(node));
      break;
    default:
      if (!world.announced.contains(place))
        world.announce(place);
      break;
    }
    world.serve_for(std::chrono::milliseconds(200 + faults() % 4000));
  }
  return world.late == 0;
}

} // namespace

// Nothing reaches a target of the data centre after the limit, and callers lose nothing.
BOOST_DATA_TEST_CASE(nothing_is_sent_there_after_the_limit, data::make(cases), each) {
  evacuated_world world(each.nodes);
  world.serve_for(2s);
  each.before(world);
  world.serve_for(1s);
  BOOST_TEST(world.arrivals_in("east", {}) > 0);
  world.announce("east");
  each.after(world);
  world.serve_for(observed_after);
  BOOST_TEST(world.late == 0);
  const auto closed_at = world.announced.at("east") + time_limit;
  BOOST_TEST(world.arrivals_in("west", closed_at) > 100);
}

BOOST_AUTO_TEST_CASE(callers_are_served_through_an_evacuation) {
  evacuated_world world(6);
  world.serve_for(2s);
  const auto start = world.clock.now();
  world.announce("east");
  world.serve_for(observed_after);
  const auto end = world.clock.now();
  world.run_for(3s);
  BOOST_TEST(world.late == 0);
  BOOST_TEST(world.served_after(start) >= min_served);
  // Capacity is moved first, so requests go there for a while.
  BOOST_TEST(world.arrivals_in("east", start + 1s) > 0);
  const auto report = world.state(1)["evacuations"];
  BOOST_REQUIRE(report.size() == 1);
  BOOST_TEST(report[0]["data_centre"] == "east");
  BOOST_TEST(report[0]["closed"].get<bool>());
  BOOST_TEST(world.arrivals_in("east", end) == 0);
}

BOOST_AUTO_TEST_CASE(a_data_centre_is_used_again_when_it_is_taken_back) {
  evacuated_world world(6);
  world.cut_store(2, true);
  world.serve_for(2s);
  world.announce("east");
  world.serve_for(8s);
  world.take_back("east");
  world.serve_for(spread_time);
  for (std::size_t i = 0; i < world.edges.size(); ++i)
    BOOST_TEST(world.state(i)["evacuations"].empty());
  const auto used_from = world.clock.now();
  world.serve_for(2s);
  BOOST_TEST(world.arrivals_in("east", used_from) > 0);
  world.announce("east");
  world.serve_for(observed_after);
  BOOST_TEST(world.late == 0);
}

BOOST_AUTO_TEST_CASE(a_streams_answer_in_progress_is_not_cut) {
  evacuated_world world(1);
  world.announce("east");
  // Requests that begin just before the data centre is closed end after that.
  world.serve_for(3s);
  const auto start = world.clock.now() - 1s;
  world.run_for(3s);
  BOOST_TEST(world.served_after(start) == 1.0);
}

// Whatever order evacuations, their ends, restarts of nodes and cuts from the store come in.
BOOST_AUTO_TEST_CASE(random_histories_send_nothing_late) {
  BOOST_TEST(rc::check("nothing is sent there after the limit", [] {
    RC_ASSERT(random_history_sends_nothing_late(*rc::gen::arbitrary<std::uint64_t>()));
  }));
}
