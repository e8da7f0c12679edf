#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::tainted_fleet;
using cut_kind = fakes::faulty_targets::cut_kind;
namespace data = boost::unit_test::data;

namespace {

/// From this time after the cut on, callers of cut nodes must be served as others are.
constexpr auto learning_time = 3s;
/// Bounds of the rule: served at least this fraction as often, or no more failures than these.
constexpr double min_share_of_others = 2.0 / 3;
constexpr double tolerated_failures = 10;
constexpr double tolerated_failure_share = 1.0 / 50;

struct cut_case {
  const char* name;
  std::size_t nodes;
  std::size_t targets;
  std::size_t cut;
  cut_kind kind;
  std::chrono::milliseconds interval = 10ms;
  std::uint64_t seed = 1;
};

std::ostream& operator<<(std::ostream& out, const cut_case& each) {
  return out << each.name;
}

const std::vector<cut_case> cuts = {
    {"one node hangs", 6, 20, 1, cut_kind::hang},
    {"three nodes hang", 6, 20, 3, cut_kind::hang},
    {"five nodes hang", 6, 20, 5, cut_kind::hang},
    {"one node is reset", 6, 20, 1, cut_kind::reset},
    {"three nodes are reset", 6, 20, 3, cut_kind::reset},
    {"three nodes get no new connections", 6, 20, 3, cut_kind::refuse_new},
    {"one node hangs, few requests", 6, 20, 1, cut_kind::hang, 100ms},
    {"three nodes hang before few targets", 6, 3, 3, cut_kind::hang, 50ms},
    {"three nodes get no new connections, seed 2", 6, 20, 3, cut_kind::refuse_new, 10ms, 2},
};

const std::vector<cut_case> large_cuts = {
    {"a hundred nodes hang", 300, 200, 100, cut_kind::hang, 2ms},
    {"a hundred nodes are reset", 300, 200, 100, cut_kind::reset, 2ms},
};

/// Counts of first attempts.
struct served_count {
  std::size_t sent = 0;
  std::size_t served = 0;
  double share() const {
    return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(sent, 1));
  }
};

/// A fleet of which the first nodes are cut off from all targets.
struct cut_fleet : tainted_fleet {
  explicit cut_fleet(const cut_case& each)
      : tainted_fleet(each.nodes, each.targets, each.seed), settings(each) {}

  void send_to_random_node() {
    const char* paths[] = {"/plain/x", "/stream/x", "/once/x"};
    net::server_request request;
    request.method = "POST";
    request.path = paths[random.below(3)];
    request.target = request.path;
    request.body = "body " + std::to_string(callers.size());
    nodes.push_back(random.below(edges.size()));
    send(nodes.back(), std::move(request), false);
  }

  void play(std::chrono::milliseconds span) {
    for (auto time = 0ms; time < span; time += settings.interval) {
      send_to_random_node();
      run_for(settings.interval);
    }
  }

  void cut() {
    for (std::size_t i = 0; i < settings.cut; ++i)
      side.cut_off(edges[i]->peer_address, settings.kind);
  }
  void heal() {
    for (std::size_t i = 0; i < settings.cut; ++i)
      side.reconnect(edges[i]->peer_address);
  }

  served_count count(bool at_cut_nodes, support::clock::time_point from,
                     support::clock::time_point to) const {
    served_count counted;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const caller& each = *callers[i];
      if ((nodes[i] < settings.cut) != at_cut_nodes || each.sent_at < from || each.sent_at >= to)
        continue;
      ++counted.sent;
      counted.served += each.writer.status == 200 && each.writer.finished ? 1 : 0;
    }
    return counted;
  }

  /// Number of requests that targets got from the cut nodes themselves since `from`.
  std::size_t direct_arrivals(support::clock::time_point from) const {
    return std::count_if(side.arrivals.begin(), side.arrivals.end(), [&](const auto& each) {
      const auto begin = edges.begin();
      const auto end = edges.begin() + static_cast<std::ptrdiff_t>(settings.cut);
      return each.at >= from && std::any_of(begin, end, [&](const auto& edge) {
               return edge->peer_address == each.node;
             });
    });
  }

  std::size_t relayed() const {
    const auto found = network.requests.find("/camphorlug/v1/relay");
    return found == network.requests.end() ? 0 : found->second;
  }

  cut_case settings;
  /// The node of each caller.
  std::vector<std::size_t> nodes;
};

void expect_callers_of_cut_nodes_are_served(const cut_case& each) {
  cut_fleet fleet(each);
  fleet.play(3s);
  fleet.cut();
  const auto cut_at = fleet.clock.now();
  fleet.play(10s);
  const auto healed_at = fleet.clock.now();
  fleet.heal();
  fleet.play(8s);
  fleet.run_for(5s);
  const served_count at_cut = fleet.count(true, cut_at + learning_time, healed_at);
  const served_count at_others = fleet.count(false, cut_at + learning_time, healed_at);
  BOOST_REQUIRE(at_cut.sent > 0);
  const auto failed = static_cast<double>(at_cut.sent - at_cut.served);
  const auto all = static_cast<double>(at_cut.sent + at_others.sent);
  BOOST_TEST(at_cut.share() >= min_share_of_others * at_others.share());
  BOOST_TEST(failed <= tolerated_failures + tolerated_failure_share * all);
  BOOST_TEST(at_others.share() > 0.98);
  // The cut nodes use their own connections again, and all is as before.
  BOOST_TEST(fleet.direct_arrivals(healed_at + 2s) > 0);
  BOOST_TEST(fleet.count(true, healed_at + 2s, fleet.clock.now()).share() > 0.98);
  BOOST_TEST(fleet.banned(each.nodes - 1) == 0);
}

} // namespace

BOOST_DATA_TEST_CASE(callers_of_nodes_cut_off_from_targets_are_served, data::make(cuts), each) {
  expect_callers_of_cut_nodes_are_served(each);
}

// Half of the nodes that a cut node may choose as its relay get no connection either.
BOOST_DATA_TEST_CASE(callers_of_nodes_without_new_connections_are_served,
                     data::xrange(std::uint64_t{1}, std::uint64_t{9}), seed) {
  expect_callers_of_cut_nodes_are_served(
      {"three nodes get no new connections", 6, 20, 3, cut_kind::refuse_new, 10ms, seed});
}

BOOST_DATA_TEST_CASE(three_hundred_nodes_serve_for_those_cut_off_from_targets,
                     data::make(large_cuts), each) {
  expect_callers_of_cut_nodes_are_served(each);
}

BOOST_AUTO_TEST_CASE(node_cut_off_from_targets_is_no_longer_an_entry_point) {
  cut_fleet fleet({"", 6, 20, 2, cut_kind::hang});
  fleet.play(3s);
  fleet.cut();
  fleet.play(4s);
  for (std::size_t i = 2; i < 6; ++i) {
    const auto entries = fleet.entries(i, "here");
    BOOST_TEST(!entries.empty());
    for (const char* cut : {"public-peer-0", "public-peer-1"})
      BOOST_TEST((std::find(entries.begin(), entries.end(), cut) == entries.end()));
  }
}

BOOST_AUTO_TEST_CASE(node_without_targets_survives_the_death_of_the_nodes_that_serve_for_it) {
  cut_fleet fleet({"", 6, 20, 1, cut_kind::hang});
  fleet.play(3s);
  fleet.cut();
  fleet.play(4s);
  fleet.kill(4);
  fleet.kill(5);
  fleet.edges.resize(4);
  fleet.play(2s);
  const auto later = fleet.clock.now();
  fleet.play(4s);
  fleet.run_for(5s);
  BOOST_TEST(fleet.count(true, later, fleet.clock.now()).share() > 0.98);
}

BOOST_AUTO_TEST_CASE(one_silent_second_of_all_targets_changes_nothing) {
  cut_fleet fleet({"", 6, 20, 0, cut_kind::hang});
  fleet.play(3s);
  for (int i = 0; i < 3; ++i) {
    fleet.side.silent_until = fleet.clock.now() + 1s;
    fleet.play(4s);
  }
  fleet.run_for(5s);
  BOOST_TEST(fleet.relayed() == 0);
  BOOST_TEST(fleet.count(false, {}, fleet.clock.now()).share() == 1.0);
}

BOOST_AUTO_TEST_CASE(targets_that_are_gone_for_all_nodes_are_not_asked_in_a_circle) {
  cut_fleet fleet({"", 6, 3, 0, cut_kind::hang});
  fleet.play(3s);
  fleet.side.on_crash = nullptr;
  for (const char* each : {"t0", "t1", "t2"})
    fleet.side.crash(each);
  const auto crashed_at = fleet.clock.now();
  fleet.play(4s);
  fleet.run_for(5s);
  const served_count counted = fleet.count(false, crashed_at, fleet.clock.now());
  BOOST_TEST(counted.served == 0);
  // One hop for each attempt at the most.
  BOOST_TEST(fleet.relayed() <= 2 * counted.sent);
}
