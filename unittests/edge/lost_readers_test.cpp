#include "camphorlug/gateway/fleet_exchange.h"

#include "fakes/edge_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Each node that reaches the store applies a change within this time from its confirmation.
const std::chrono::nanoseconds time_limit = edge::edge_settings{}.config_time_limit;
/// A node counts as reaching the store this long after it does so again.
constexpr auto contact_time = 3s;
constexpr auto cut_time = 8s;
constexpr auto check_interval = 10ms;

struct lost_readers_case {
  const char* name;
  std::size_t nodes;
  /// Nodes that keep the store; the readers are not among them.
  std::size_t spared;
  fakes::store_cut kind;
  std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& out, const lost_readers_case& each) {
  return out << each.name << ", seed " << each.seed;
}

/// A change and the time at which the nodes that reach the store must know it.
struct expected_change {
  support::clock::time_point due_at;
  std::uint64_t config_version = 0;
  std::string removed_target;
};

/// Nodes that lose the store, all but a few, while the operator and the targets write changes.
struct disturbed_world : fakes::edge_cluster {
  explicit disturbed_world(const lost_readers_case& each)
      : edge_cluster(each.nodes, each.seed), how(each), faults(each.seed) {
    set_config(version);
    for (int i = 0; i < 40; ++i)
      add_target("t" + std::to_string(i));
    run_for(5s);
  }

  /// Cuts all nodes but some that do not read the store now.
  void cut_all_but_some() {
    std::vector<std::size_t> order(edges.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), faults);
    std::stable_partition(order.begin(), order.end(), [this](std::size_t index) {
      return !state(index)["reads_store"].get<bool>();
    });
    in_touch.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(how.spared));
    for (std::size_t i = how.spared; i < order.size(); ++i)
      cut_store(order[i], true, how.kind);
  }

  void heal_all() {
    for (std::size_t i = 0; i < edges.size(); ++i)
      cut_store(i, false);
  }

  void write_change() {
    expected_change change;
    change.due_at = clock.now() + time_limit;
    if (faults() % 2 == 0) {
      change.config_version = ++version;
      set_config(version);
    } else {
      change.removed_target = "t" + std::to_string(next_target++);
      remove_target(change.removed_target);
    }
    expected.push_back(change);
  }

  void check(const expected_change& change) {
    for (const std::size_t index : in_touch) {
      const auto report = state(index);
      if (change.removed_target.empty()) {
        late += report["config"]["version"].get<std::uint64_t>() < change.config_version ? 1 : 0;
        continue;
      }
      const auto& targets = report["targets"];
      late += std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
        return target["target"] == change.removed_target;
      });
    }
  }

  /// Writes changes at random moments and checks each when it is due.
  void write_changes_for(std::chrono::nanoseconds span) {
    const auto end = clock.now() + span;
    auto next_change = clock.now();
    while (clock.now() < end) {
      if (clock.now() >= next_change && clock.now() + time_limit < end) {
        write_change();
        next_change = clock.now() + std::chrono::milliseconds(100 + faults() % 900);
      }
      while (!expected.empty() && clock.now() >= expected.front().due_at) {
        check(expected.front());
        expected.erase(expected.begin());
      }
      run_for(check_interval);
    }
  }

  const lost_readers_case how;
  std::mt19937_64 faults;
  std::vector<std::size_t> in_touch;
  std::vector<expected_change> expected;
  std::uint64_t version = 1;
  int next_target = 0;
  /// Nodes and changes that were not known when they were due.
  std::size_t late = 0;
};

std::vector<lost_readers_case> make_cases() {
  std::vector<lost_readers_case> cases;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    cases.push_back({"two of six keep a silent store", 6, 2, fakes::store_cut::silent, seed});
    cases.push_back({"one of six keeps a silent store", 6, 1, fakes::store_cut::silent, seed});
    cases.push_back(
        {"two of six keep a store that refuses", 6, 2, fakes::store_cut::refused, seed});
    cases.push_back({"two of 26 keep a silent store", 26, 2, fakes::store_cut::silent, seed});
    cases.push_back({"40 of 71 keep a silent store", 71, 40, fakes::store_cut::silent, seed});
  }
  cases.push_back({"three of 300 keep a silent store", 300, 3, fakes::store_cut::silent, 1});
  return cases;
}

const std::vector<lost_readers_case> cases = make_cases();

} // namespace

// Guards against changes that nodes in touch with the store miss because the nodes that read it for
// all lose it (CONFIG on tamm-diag).
BOOST_DATA_TEST_CASE(changes_are_known_in_time_when_the_readers_lose_the_store, data::make(cases),
                     each) {
  disturbed_world world(each);
  for (int round = 0; round < 2; ++round) {
    world.cut_all_but_some();
    world.write_changes_for(cut_time);
    world.heal_all();
    world.in_touch.clear();
    world.run_for(contact_time + time_limit);
  }
  BOOST_TEST(world.late == 0);
}

// Direct reads are for losses: each call to the store is paid for.
BOOST_DATA_TEST_CASE(only_readers_call_the_store_while_they_have_it, data::make({6, 26, 71, 300}),
                     nodes) {
  fakes::edge_cluster world(static_cast<std::size_t>(nodes));
  world.set_config(1);
  world.add_target("t1");
  world.run_for(5s);
  for (auto& edge : world.edges)
    edge->feed->reads = 0;
  for (int i = 0; i < 5; ++i) {
    world.set_config(static_cast<std::uint64_t>(i) + 2);
    world.run_for(2s);
  }
  // Each node polls its own rows only while it reads; two of them do.
  std::size_t callers = 0;
  for (auto& edge : world.edges)
    callers += edge->feed->reads > 0 ? 1 : 0;
  BOOST_TEST(callers == gateway::fleet_roles::reader_count);
}

// What a reader knows must not depend on the way from it to the others either.
BOOST_AUTO_TEST_CASE(changes_are_known_in_time_when_peers_do_not_hand_them_over) {
  fakes::edge_cluster world(6);
  world.set_config(1);
  world.add_target("t1");
  world.add_target("t2");
  world.run_for(5s);
  for (auto& [address, handler] : world.network.nodes)
    handler = [&world, original = handler](net::server_request request,
                                           net::response_writer& writer) -> support::task<> {
      if (request.path == gateway::config_path || request.path == gateway::entries_path)
        co_await world.clock.sleep_for(1h);
      else
        co_await original(std::move(request), writer);
    };
  for (std::uint64_t version = 2; version < 6; ++version) {
    world.set_config(version);
    if (version == 3)
      world.remove_target("t1");
    world.run_for(time_limit);
    for (std::size_t i = 0; i < world.edges.size(); ++i) {
      const auto report = world.state(i);
      BOOST_TEST(report["config"]["version"].get<std::uint64_t>() >= version);
      BOOST_TEST(report["targets"].size() == (version < 3 ? 2U : 1U));
    }
  }
}
