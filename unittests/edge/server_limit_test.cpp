#include "fakes/edge_cluster.h"
#include "fakes/faulty_targets.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// What a target that names a limit may get, from nodes that it told this long before.
constexpr auto told_before = 500ms;
constexpr std::chrono::milliseconds window = 4s;
constexpr double tolerance = 1.5;
constexpr double slack = 5;
/// Nodes have this long from the first naming of a limit on.
constexpr auto learning_time = 3s;

/// A fleet before targets of which some name limits, and its callers.
struct limited_fleet : fakes::edge_cluster {
  limited_fleet(std::size_t nodes, std::size_t targets) : edge_cluster(nodes), side(clock) {
    target_client = &side;
    set_config(1);
    for (std::size_t i = 0; i < targets; ++i)
      add_target("t" + std::to_string(i));
    run_for(3s);
  }

  /// Ends the requests, which refer to members.
  ~limited_fleet() { clock.shut_down(); }
  limited_fleet(const limited_fleet&) = delete;
  limited_fleet& operator=(const limited_fleet&) = delete;

  void limit(std::size_t targets, double requests_per_second) {
    for (std::size_t i = 0; i < targets; ++i) {
      side.limits["t" + std::to_string(i)] = requests_per_second;
      limited_since["t" + std::to_string(i)] = clock.now();
    }
  }

  void send(std::size_t node) {
    auto writer = std::make_unique<fakes::recording_writer>();
    net::server_request request;
    request.method = "POST";
    request.path = "/stream/x";
    request.headers.add("Host", "example");
    request.headers.add("Id", "r" + std::to_string(callers.size()));
    support::spawn(context.get_executor(), "call",
                   edges[node]->node->handle_caller(std::move(request), *writer));
    callers.push_back(std::move(writer));
  }

  /// Sends requests to random nodes, 100 a second unless the interval is set.
  void send_requests(std::chrono::milliseconds span) {
    for (auto sent = 0ms; sent < span; sent += interval) {
      std::size_t node = random.below(edges.size());
      while (!edges[node]->node->ready())
        node = random.below(edges.size());
      send(node);
      run_for(interval);
    }
  }

  std::size_t arrivals(const std::string& target, support::clock::time_point from,
                       support::clock::time_point to) const {
    return std::count_if(side.arrivals.begin(), side.arrivals.end(), [&](const auto& each) {
      return each.target == target && each.at > from && each.at <= to;
    });
  }

  /// The most that a limited target got in a window from nodes that it had told, as a multiple of
  /// what is allowed.
  double worst_excess() const {
    double worst = 0;
    for (const auto& [target, limited_at] : limited_since) {
      std::vector<support::clock::time_point> counted;
      for (const auto& each : side.arrivals) {
        if (each.target != target || !side.told.contains(target))
          continue;
        const auto& told = side.told.at(target);
        const auto known = told.find(each.node);
        if (known != told.end() && each.at - known->second >= told_before)
          counted.push_back(each.at);
      }
      const double allowed = tolerance * side.limits.at(target) * 4 + slack;
      for (const auto end : counted) {
        if (end < limited_at + learning_time)
          continue;
        const auto in_window = std::count_if(counted.begin(), counted.end(), [&](const auto at) {
          return at > end - window && at <= end;
        });
        worst = std::max(worst, static_cast<double>(in_window) / allowed);
      }
    }
    return worst;
  }

  double served_share() const {
    const auto served = std::count_if(callers.begin(), callers.end(), [](const auto& each) {
      return each->status == 200 && each->finished;
    });
    return static_cast<double>(served) / static_cast<double>(callers.size());
  }

  std::chrono::milliseconds interval = 10ms;
  fakes::faulty_targets side;
  std::map<std::string, support::clock::time_point> limited_since;
  std::vector<std::unique_ptr<fakes::recording_writer>> callers;
};

struct limit_case {
  std::size_t nodes;
  std::size_t targets;
  std::size_t limited;
  double requests_per_second;
  /// Between two requests of callers.
  std::chrono::milliseconds interval = 10ms;
};

std::ostream& operator<<(std::ostream& out, const limit_case& each) {
  return out << each.limited << " of " << each.targets << " targets limited to "
             << each.requests_per_second << " a second before " << each.nodes << " nodes";
}

const std::vector<limit_case> small_fleets = {{6, 20, 4, 1.6}, {6, 20, 8, 2.5}, {6, 20, 20, 2.5},
                                              {6, 3, 1, 10},   {6, 20, 3, 0},   {2, 20, 4, 1.6}};
const std::vector<limit_case> large_fleets = {{300, 10, 2, 1.6, 4ms}, {300, 10, 10, 6, 4ms}};

void expect_limits_to_hold(const limit_case& each) {
  limited_fleet fleet(each.nodes, each.targets);
  fleet.interval = each.interval;
  fleet.send_requests(2s);
  fleet.limit(each.limited, each.requests_per_second);
  fleet.send_requests(12s);
  fleet.run_for(1s);
  BOOST_TEST(fleet.worst_excess() <= 1.0);
  if (each.limited * 2 <= each.targets)
    BOOST_TEST(fleet.served_share() > 0.95);
}

} // namespace

BOOST_DATA_TEST_CASE(nodes_together_keep_the_limit_of_a_target, data::make(small_fleets), each) {
  expect_limits_to_hold(each);
}

BOOST_DATA_TEST_CASE(three_hundred_nodes_keep_the_limit_of_a_target, data::make(large_fleets),
                     each) {
  expect_limits_to_hold(each);
}

namespace {

struct change_case {
  const char* name;
  void (*play)(limited_fleet&);
};

std::ostream& operator<<(std::ostream& out, const change_case& each) {
  return out << each.name;
}

const std::vector<change_case> changes = {
    {"one node restarts",
     [](limited_fleet& fleet) {
       fleet.kill(2);
       fleet.start(2);
     }},
    {"one node ends",
     [](limited_fleet& fleet) {
       fleet.kill(2);
       fleet.edges.erase(fleet.edges.begin() + 2);
     }},
    {"three nodes restart",
     [](limited_fleet& fleet) {
       for (const std::size_t node : {1, 3, 5}) {
         fleet.kill(node);
         fleet.start(node);
       }
     }},
    {"the limit falls", [](limited_fleet& fleet) { fleet.limit(6, 1.0); }},
    {"the limit rises", [](limited_fleet& fleet) { fleet.limit(6, 4.0); }},
};

} // namespace

BOOST_DATA_TEST_CASE(limit_holds_while_the_fleet_changes, data::make(changes), each) {
  limited_fleet fleet(6, 20);
  fleet.send_requests(1s);
  fleet.limit(6, 2.5);
  fleet.send_requests(6s);
  each.play(fleet);
  fleet.send_requests(8s);
  BOOST_TEST(fleet.worst_excess() <= 1.0);
}

BOOST_AUTO_TEST_CASE(target_gets_its_share_again_when_it_names_no_limit) {
  limited_fleet fleet(6, 10);
  fleet.limit(2, 1.6);
  fleet.send_requests(6s);
  fleet.side.limits.clear();
  fleet.send_requests(4s);
  const auto now = fleet.clock.now();
  // A tenth of 100 a second; half of that at the least.
  BOOST_TEST(fleet.arrivals("t0", now - 2s, now) >= 10U);
  BOOST_TEST(fleet.arrivals("t1", now - 2s, now) >= 10U);
}

BOOST_AUTO_TEST_CASE(limited_target_is_still_used) {
  limited_fleet fleet(6, 10);
  fleet.limit(10, 2.0);
  fleet.send_requests(4s);
  const auto start = fleet.clock.now();
  fleet.send_requests(8s);
  // Half of what all targets together take in 8 s.
  std::size_t used = 0;
  for (int i = 0; i < 10; ++i)
    used += fleet.arrivals("t" + std::to_string(i), start, fleet.clock.now());
  BOOST_TEST(used >= 80U);
}

BOOST_AUTO_TEST_CASE(request_that_no_limit_admits_is_refused_at_once) {
  limited_fleet fleet(6, 2);
  fleet.limit(2, 0.5);
  fleet.send_requests(4s);
  const std::size_t before = fleet.callers.size();
  for (std::size_t node = 0; node < 6; ++node)
    fleet.send(node);
  fleet.run_for(20ms);
  const auto refused =
      std::count_if(fleet.callers.begin() + static_cast<std::ptrdiff_t>(before),
                    fleet.callers.end(), [](const auto& each) { return each->status == 503; });
  BOOST_TEST(refused >= 4);
}
