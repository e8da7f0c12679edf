#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::int64_t started = 100;

struct cold_registry {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::target_registry registry{clock};

  void write_row(std::uint64_t version, std::chrono::milliseconds warm_up,
                 std::int64_t start = started) {
    gateway::target_entry entry;
    entry.id = "a";
    entry.service = "service";
    entry.started_at_ms = start;
    entry.warm_up_remaining = warm_up;
    registry.update("a", version, entry);
  }

  /// How long the target is cold from now on.
  std::chrono::milliseconds left() const {
    const auto& target = registry.all().at("a");
    return target.was_cold ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                 target.cold_until - clock.now())
                           : 0ms;
  }
};

struct notice_case {
  const char* name;
  std::chrono::milliseconds row;
  gateway::cold_notice notice;
  std::chrono::milliseconds expected;
};

std::ostream& operator<<(std::ostream& out, const notice_case& each) {
  return out << each.name;
}

const std::vector<notice_case> cases = {
    {"a warm target turns cold", 0ms, {started, 4000ms}, 4000ms},
    {"longer than its row says", 1000ms, {started, 4000ms}, 4000ms},
    {"shorter than its row says", 6000ms, {started, 4000ms}, 6000ms},
    {"of an earlier start", 0ms, {started - 1, 4000ms}, 0ms},
    {"of a later start, whose row has not come", 0ms, {started + 1, 4000ms}, 0ms},
    {"nothing left", 0ms, {started, 0ms}, 0ms},
    {"a negative time", 0ms, {started, -4000ms}, 0ms},
    {"an absurd time", 0ms, {started, std::chrono::milliseconds::max()}, 1h},
    {"an absurd time in the row", std::chrono::milliseconds::max(), {started, 1000ms}, 1h},
};

} // namespace

BOOST_DATA_TEST_CASE(what_a_target_says_counts_beside_its_row, data::make(cases), each) {
  cold_registry world;
  world.write_row(1, each.row);
  world.registry.mark_cold("a", each.notice);
  BOOST_TEST((world.left() == each.expected));
}

// The row may have been written before the target turned cold.
BOOST_AUTO_TEST_CASE(a_row_does_not_end_what_the_target_said) {
  cold_registry world;
  world.write_row(1, 0ms);
  BOOST_TEST(world.registry.mark_cold("a", {started, 4000ms}));
  world.clock.run_for(1s);
  world.write_row(2, 1000ms);
  BOOST_TEST((world.left() == 3000ms));
  world.write_row(3, 0ms);
  BOOST_TEST((world.left() == 3000ms));
  world.write_row(4, 0ms, started + 1);
  BOOST_TEST((world.left() <= 0ms));
}

BOOST_AUTO_TEST_CASE(a_notice_counts_once_the_row_of_that_start_comes) {
  cold_registry world;
  world.registry.mark_cold("a", {started, 4000ms});
  world.clock.run_for(1s);
  world.write_row(1, 0ms);
  BOOST_TEST((world.left() == 3000ms));
}

// Two nodes tell each other what they know, each message being some time on the way.
BOOST_DATA_TEST_CASE(exchanges_do_not_move_the_end_on, data::make({1, 40, 400}), delay) {
  cold_registry one;
  cold_registry other;
  one.write_row(1, 0ms);
  other.write_row(1, 0ms);
  const auto pass = [&](std::chrono::nanoseconds span) {
    one.clock.run_for(span);
    other.clock.run_for(span);
  };
  one.registry.mark_cold("a", {started, 4000ms});
  for (int i = 0; i < 20; ++i) {
    for (auto [from, to] : {std::pair(&one, &other), std::pair(&other, &one)}) {
      const auto sent = from->registry.cold_notices_to_report();
      pass(std::chrono::milliseconds(delay));
      for (const auto& [target, notice] : sent)
        to->registry.mark_cold(target, notice);
    }
  }
  pass(4000ms + gateway::target_registry::cold_tolerance);
  BOOST_TEST((one.left() <= 0ms));
  BOOST_TEST((other.left() <= 0ms));
}

BOOST_AUTO_TEST_CASE(what_the_row_says_is_not_sent_to_peers) {
  cold_registry world;
  world.write_row(1, 4000ms);
  world.registry.mark_cold("a", {started, 4000ms});
  BOOST_TEST(world.registry.cold_notices_to_report().empty());
  world.registry.mark_cold("a", {started, 8000ms});
  BOOST_TEST(world.registry.cold_notices_to_report().size() == 1);
}

BOOST_AUTO_TEST_CASE(messages_carry_notices_and_sizes_and_those_of_older_builds_do_not) {
  gateway::fleet_message message;
  const auto older = gateway::fleet_message::from_json(message.to_json());
  BOOST_TEST(older.cold.empty());
  BOOST_TEST(!older.nodes.has_value());
  message.cold["a"] = {started, 4000ms};
  message.nodes = {71, 300ms};
  const auto read = gateway::fleet_message::from_json(message.to_json());
  BOOST_TEST((read.cold == message.cold));
  BOOST_TEST((read.nodes == message.nodes));
}
