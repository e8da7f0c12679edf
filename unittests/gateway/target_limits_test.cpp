#include "camphorlug/gateway/target_limits.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace camphorlug::gateway;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::int64_t started_at_ms = 7;

std::vector<std::string> node_names(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back("node" + std::to_string(i));
  return names;
}

/// The limits of one target as each of several nodes sees them.
struct nodes_before_target {
  explicit nodes_before_target(std::size_t count) : names(node_names(count)) {
    for (std::size_t i = 0; i < count; ++i)
      nodes.push_back(std::make_unique<target_limits>(clock));
  }

  void update() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::vector<std::string> others = names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      nodes[i]->update(others, names[i]);
    }
  }

  /// Lets each node send as much as it may, and returns how many requests that are.
  std::size_t send_all(std::chrono::milliseconds span) {
    std::size_t sent = 0;
    for (auto passed = 0ms; passed < span; passed += 10ms) {
      update();
      for (const auto& each : nodes) {
        if (each->allows("t", started_at_ms)) {
          each->count("t", started_at_ms);
          ++sent;
        }
      }
      clock.run_for(10ms);
    }
    return sent;
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  std::vector<std::string> names;
  std::vector<std::unique_ptr<target_limits>> nodes;
};

struct share_case {
  std::size_t nodes;
  double limit;
};

std::ostream& operator<<(std::ostream& out, const share_case& each) {
  return out << each.limit << " a second for " << each.nodes << " nodes";
}

const std::vector<share_case> share_cases = {{1, 2.5},   {6, 0.4},  {6, 1.6},  {6, 40},
                                             {300, 1.6}, {300, 20}, {300, 900}};

} // namespace

BOOST_DATA_TEST_CASE(nodes_use_most_of_a_limit_and_no_more, data::make(share_cases), each) {
  nodes_before_target world(each.nodes);
  for (const auto& node : world.nodes)
    node->observe("t", started_at_ms, each.limit);
  world.send_all(4s);
  const auto sent = static_cast<double>(world.send_all(8s));
  BOOST_TEST(sent <= each.limit * 8 + 1);
  BOOST_TEST(sent >= each.limit * 4 - 1);
}

BOOST_AUTO_TEST_CASE(limit_of_an_earlier_start_does_not_count) {
  nodes_before_target world(2);
  world.nodes[0]->observe("t", started_at_ms, 1.0);
  world.update();
  BOOST_TEST(!world.nodes[0]->allows("t", started_at_ms));
  BOOST_TEST(world.nodes[0]->allows("t", started_at_ms + 1));
}

BOOST_AUTO_TEST_CASE(newest_report_counts_whatever_the_order) {
  nodes_before_target world(2);
  world.nodes[0]->observe("t", started_at_ms, 1.0);
  world.clock.run_for(2s);
  world.nodes[1]->merge({{"t", {started_at_ms, 1.0, 2s}}});
  world.nodes[1]->observe("t", started_at_ms, std::nullopt);
  const reported_limits ended = world.nodes[1]->known();
  world.nodes[0]->merge(ended);
  BOOST_TEST(world.nodes[0]->allows("t", started_at_ms));
  world.nodes[0]->merge({{"t", {started_at_ms, 1.0, 2s}}});
  BOOST_TEST(world.nodes[0]->allows("t", started_at_ms));
}

// Targets come back under new ids, and each report is in every message between nodes.
BOOST_AUTO_TEST_CASE(limits_of_targets_that_are_gone_are_dropped) {
  nodes_before_target world(1);
  for (int i = 0; i < 100; ++i)
    world.nodes[0]->observe("t" + std::to_string(i), started_at_ms, 1.0);
  world.nodes[0]->retain([](const std::string& target, std::int64_t) { return target == "t7"; });
  BOOST_TEST(world.nodes[0]->known().size() == 1U);
  world.update();
  BOOST_TEST(!world.nodes[0]->allows("t7", started_at_ms));
}

BOOST_AUTO_TEST_CASE(report_survives_its_encoding) {
  const reported_limits reports{{"a", {3, 1.5, 40ms}}, {"b", {4, std::nullopt, 5s}}};
  const auto read = nlohmann::json::parse(nlohmann::json(reports).dump()).get<reported_limits>();
  BOOST_TEST(read.at("a").requests_per_second.value_or(0) == 1.5);
  BOOST_TEST(!read.at("b").requests_per_second);
  BOOST_TEST((read.at("b").age == 5s && read.at("a").started_at_ms == 3));
}
