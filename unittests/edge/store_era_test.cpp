#include "fakes/edge_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto observation_interval = 100ms;
/// Time in which a new era must reach all nodes after the first one has noticed it.
constexpr auto era_spread_time = 1000ms;
constexpr int heartbeats = 100;
/// A node that has just started has yet to find the others.
constexpr auto discovery_time = 3000ms;

/// Nodes before a store that is restored from older copies. Each observation checks what must hold
/// at all times.
struct restored_world : fakes::edge_cluster {
  explicit restored_world(std::size_t count, std::uint64_t seed = 1)
      : edge_cluster(count), faults(seed), seen(count) {
    write_config();
    add_target("t0");
    observe_for(4s);
  }

  struct seen_node {
    std::uint64_t config = 0;
    std::uint64_t era = 0;
    std::chrono::nanoseconds running{0};
  };

  /// Rewrites of a target's row, so that the store's version is far ahead of that of a copy.
  void write_heartbeats() {
    for (int i = 0; i < heartbeats; ++i)
      add_target("t0");
  }

  void write_config() { set_config(++newest_config); }

  void observe_for(std::chrono::nanoseconds span) {
    for (std::chrono::nanoseconds passed{0}; passed < span; passed += observation_interval) {
      run_for(observation_interval);
      observe();
    }
  }

  void observe() {
    std::size_t holders = 0;
    std::uint64_t highest_era = 0;
    for (std::size_t i = 0; i < edges.size(); ++i) {
      if (!edges[i])
        continue;
      const auto report = state(i);
      seen_node& before = seen[i];
      before.running += observation_interval;
      const std::uint64_t config =
          report["config"].is_null() ? 0 : report["config"]["version"].get<std::uint64_t>();
      BOOST_TEST(config >= before.config, "the configuration of node " << i << " goes back");
      before.config = config;
      before.era = report.value("store_era", std::uint64_t{0});
      highest_era = std::max(highest_era, before.era);
      if (report["lease"]["held_here"].get<bool>()) {
        ++holders;
        const auto number = report["lease"]["number"].get<std::uint64_t>();
        BOOST_TEST(number >= highest_number, "a lease number is given out again");
        highest_number = std::max(highest_number, number);
      }
    }
    BOOST_TEST(holders <= 1);
    check_era_spread(highest_era);
  }

  void check_era_spread(std::uint64_t highest) {
    if (highest > spreading_era) {
      spreading_era = highest;
      spreading_for = 0ns;
      return;
    }
    spreading_for += observation_interval;
    if (spreading_for < era_spread_time || kills_settle_for > 0ns) {
      kills_settle_for -=
          std::min<std::chrono::nanoseconds>(kills_settle_for, observation_interval);
      return;
    }
    for (std::size_t i = 0; i < edges.size(); ++i) {
      if (edges[i] && seen[i].running >= discovery_time)
        BOOST_TEST(seen[i].era >= spreading_era, "node " << i << " does not know the era");
    }
  }

  void replace(std::size_t index) {
    kill(index);
    start(index);
    seen[index] = {};
    kills_settle_for = discovery_time;
  }

  void restore_after(std::chrono::milliseconds age, std::chrono::milliseconds rewrite_delay) {
    support::spawn(context.get_executor(), "restore", restore(copy_store(), age, rewrite_delay));
  }

  support::task<> restore(fakes::store_copy copy, std::chrono::milliseconds age,
                          std::chrono::milliseconds rewrite_delay) {
    co_await clock.sleep_for(age);
    restore_store(std::move(copy), rewrite_delay);
  }

  std::chrono::milliseconds random_time(std::uint64_t from_ms, std::uint64_t to_ms) {
    return std::chrono::milliseconds(from_ms + faults() % (to_ms - from_ms));
  }

  void inject_fault() {
    const std::size_t index = faults() % edges.size();
    switch (faults() % 8) {
    case 0:
      write_config();
      break;
    case 1:
      write_heartbeats();
      add_target("t" + std::to_string(faults() % 8));
      break;
    case 2:
      tables.remove("targets", "t" + std::to_string(1 + faults() % 7));
      break;
    case 3:
      for (std::size_t i = 0; i < edges.size(); ++i) {
        if (state(i)["reads_store"].get<bool>())
          cut_store(i, !edges[i]->store->cut);
      }
      break;
    case 4:
      replace(index);
      break;
    case 5:
      edges[index]->feed->answer_delay = random_time(0, 2500);
      break;
    default:
      // At times the next copy is restored before this one.
      restore_after(random_time(100, 10'000), random_time(100, 2000));
    }
  }

  std::set<std::string> targets_in_store() {
    std::set<std::string> ids;
    for (const auto& [key, row] : tables.tables["targets"]) {
      if (!row.deleted)
        ids.insert(key);
    }
    return ids;
  }

  std::set<std::string> targets_of(std::size_t index) {
    std::set<std::string> ids;
    const auto report = state(index);
    for (const auto& target : report["targets"])
      ids.insert(target["target"].get<std::string>());
    return ids;
  }

  void check_all_agree() {
    const std::set<std::string> expected = targets_in_store();
    for (std::size_t i = 0; i < edges.size(); ++i) {
      BOOST_TEST(seen[i].config == newest_config, "node " << i);
      BOOST_TEST(seen[i].era == tables.era, "node " << i);
      BOOST_TEST((targets_of(i) == expected), "targets of node " << i);
    }
  }

  std::mt19937_64 faults;
  std::vector<seen_node> seen;
  std::uint64_t newest_config = 0;
  std::uint64_t highest_number = 0;
  std::uint64_t spreading_era = 0;
  std::chrono::nanoseconds spreading_for{0};
  std::chrono::nanoseconds kills_settle_for{0};
};

struct restoration {
  const char* what;
  std::chrono::milliseconds copy_age;
  std::chrono::milliseconds rewrite_delay;
  int times;
  bool cuts_readers;
  bool starts_node;
};

std::ostream& operator<<(std::ostream& out, const restoration& each) {
  return out << each.what;
}

const restoration restorations[] = {
    {"copy 0.1 s old", 100ms, 500ms, 1, false, false},
    {"copy 3 s old", 3000ms, 1000ms, 1, false, false},
    {"copy 10 s old", 10'000ms, 1000ms, 1, false, false},
    {"two in a row", 3000ms, 1000ms, 2, false, false},
    {"readers cut off from the store", 3000ms, 1000ms, 1, true, false},
    {"node started meanwhile", 3000ms, 1500ms, 1, false, true},
};

void check_restoration(std::size_t nodes, const restoration& each) {
  restored_world world(nodes);
  const fakes::store_copy copy = world.copy_store();
  world.observe_for(each.copy_age / 2);
  world.write_config();
  world.add_target("t1");
  world.write_heartbeats();
  world.tables.remove("targets", "t0");
  world.observe_for(each.copy_age / 2 + 500ms);
  for (std::size_t i = 0; i < nodes && each.cuts_readers; ++i) {
    if (world.state(i)["reads_store"].get<bool>())
      world.cut_store(i, true);
  }
  for (int i = 0; i < each.times; ++i) {
    world.restore_store(copy, each.rewrite_delay);
    world.observe_for(300ms);
  }
  if (each.starts_node)
    world.replace(nodes - 1);
  world.observe_for(2s);
  // Under versions that have been given out before.
  world.write_config();
  world.add_target("t2");
  world.tables.remove("targets", "t1");
  world.observe_for(2s);
  if (!each.cuts_readers)
    world.check_all_agree();
  for (std::size_t i = 0; i < nodes; ++i)
    world.cut_store(i, false);
  world.observe_for(2s);
  world.check_all_agree();
}

void check_random_history(std::size_t nodes, std::uint64_t seed, int faults) {
  restored_world world(nodes, seed);
  for (int i = 0; i < faults; ++i) {
    world.inject_fault();
    world.observe_for(world.random_time(0, 2000));
  }
  for (std::size_t i = 0; i < nodes; ++i) {
    world.cut_store(i, false);
    world.edges[i]->feed->answer_delay = 0ms;
  }
  // Until the last copy was restored and its rows were written again.
  world.observe_for(13s);
  // What was lost twice in a row is written again by its owner.
  world.write_config();
  world.observe_for(6s);
  world.check_all_agree();
}

} // namespace

BOOST_DATA_TEST_CASE(three_nodes_follow_the_store_into_a_new_era, data::make(restorations), each) {
  check_restoration(3, each);
}

BOOST_DATA_TEST_CASE(sixty_nodes_follow_the_store_into_a_new_era, data::make(restorations), each) {
  check_restoration(60, each);
}

BOOST_DATA_TEST_CASE(three_nodes_agree_after_random_faults_and_new_eras, data::xrange(1, 41),
                     seed) {
  check_random_history(3, static_cast<std::uint64_t>(seed), 20);
}

BOOST_DATA_TEST_CASE(sixty_nodes_agree_after_random_faults_and_new_eras, data::xrange(1, 3), seed) {
  check_random_history(60, static_cast<std::uint64_t>(seed), 10);
}

// A node registers its address in the store, where a node without any seed finds it.
BOOST_AUTO_TEST_CASE(lost_registration_is_written_again) {
  restored_world world(3);
  std::set<std::string> registered;
  for (const auto& row : world.own_rows.rows.scan("node/"))
    registered.insert(row.key);
  BOOST_REQUIRE(!registered.empty());
  world.restore_store({}, 500ms);
  world.observe_for(2s);
  std::set<std::string> present;
  for (const auto& row : world.own_rows.rows.scan("node/"))
    present.insert(row.key);
  BOOST_TEST((present == registered));
}
