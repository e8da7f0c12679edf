#include "fakes/edge_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// In this time after its start, a lasting task of a node waits at most once.
constexpr auto first_waits_time = 40ms;
/// A lasting task that has failed starts again after this time, see `support::spawn_lasting`.
constexpr auto restart_delay = 100ms;
/// A lasting task is back at its usual work after this time.
constexpr auto recovery_time = 8s;
constexpr auto observed_time = 20s;
/// Delays that come less often in the observed time differ from run to run.
constexpr std::size_t min_usual_waits = 10;

/// The lasting tasks that `edge_node::start` begins.
constexpr std::size_t lasting_tasks = 12;

/// A fleet whose node 0 has just started and has a clock of its own.
struct started_node : edge_cluster {
  explicit started_node(std::size_t nodes) : edge_cluster(nodes) {
    set_config_with_engines(1, 1);
    add_target("t1");
    run_for(5s);
    kill(0);
    run_for(1s);
    gives_own_clocks = true;
    start(0);
  }

  const std::vector<failing_clock::wait>& waits() const { return edges[0]->clock->waits(); }

  /// Returns how often node 0 begins to wait for each delay from now on, after recovery.
  std::map<std::chrono::nanoseconds, std::size_t> count_waits() {
    run_for(recovery_time);
    const std::size_t before = waits().size();
    run_for(observed_time);
    std::map<std::chrono::nanoseconds, std::size_t> counts;
    for (std::size_t number = before; number < waits().size(); ++number)
      ++counts[waits()[number].delay];
    return counts;
  }
};

/// Returns how many waits for the delay of a restart began at this time.
std::ptrdiff_t count_restarts(const std::vector<failing_clock::wait>& waits,
                              support::clock::time_point time) {
  return std::count_if(waits.begin(), waits.end(), [&](const failing_clock::wait& each) {
    return each.begun_at == time && each.delay == restart_delay;
  });
}

} // namespace

// Guards against a duty of a node that ends for good, or does less, after one exception.
BOOST_DATA_TEST_CASE(node_does_all_its_work_after_any_first_wait_of_a_task_failed,
                     data::make({1, 3}), nodes) {
  started_node usual(static_cast<std::size_t>(nodes));
  usual.run_for(first_waits_time);
  const std::vector<failing_clock::wait> first_waits = usual.waits();
  const auto usual_counts = usual.count_waits();
  std::size_t restarted_tasks = 0;
  for (std::size_t failed = 0; failed < first_waits.size(); ++failed) {
    started_node world(static_cast<std::size_t>(nodes));
    world.edges[0]->clock->fail_wait(failed);
    world.run_for(first_waits_time);
    BOOST_REQUIRE(world.waits().size() > failed);
    // Other tasks of the node end with their work.
    const auto failed_at = first_waits[failed].begun_at;
    if (count_restarts(world.waits(), failed_at) <= count_restarts(first_waits, failed_at))
      continue;
    ++restarted_tasks;
    const auto counts = world.count_waits();
    for (const auto& [delay, count] : usual_counts) {
      const auto found = counts.find(delay);
      const std::size_t present = found == counts.end() ? 0 : found->second;
      BOOST_TEST((count < min_usual_waits || present >= count * 9 / 10),
                 "wait " << failed << " failed: " << present << " of usually " << count
                         << " waits for " << delay.count() << " ns");
    }
    world.set_config_with_engines(2, 1);
    world.add_target("t2");
    world.run_for(2s);
    const nlohmann::ordered_json state = world.state(0);
    BOOST_TEST(state["config"]["version"] == 2, "wait " << failed);
    BOOST_TEST(state["targets"].dump().find("t2") != std::string::npos, "wait " << failed);
    for (const auto& edge : world.edges)
      BOOST_TEST(edge->node->metrics().find("value=\"live_peers\"} " + std::to_string(nodes - 1)) !=
                     std::string::npos,
                 "wait " << failed << ", " << edge->id);
  }
  BOOST_TEST(restarted_tasks == lasting_tasks);
}
