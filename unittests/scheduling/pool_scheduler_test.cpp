#include "scheduler_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using scheduling::scheduler_fixture;

BOOST_AUTO_TEST_CASE(pool_without_targets_is_unavailable) {
  scheduler_fixture world(0, 0);
  const auto& asked = world.ask({});
  BOOST_TEST(asked.is(gateway::scheduled_slot::outcome::unavailable));
}

BOOST_AUTO_TEST_CASE(free_slots_are_granted_at_once_and_evenly) {
  scheduler_fixture world(4, 3);
  for (int i = 0; i < 12; ++i)
    BOOST_TEST(world.ask({}).granted());
  for (const auto& target : world.targets)
    BOOST_TEST(world.scheduler.in_flight(target.target.id) == 3u);
  BOOST_TEST(!world.ask({}).decided());
}

BOOST_AUTO_TEST_CASE(targets_of_the_own_data_centre_come_first_at_equal_load) {
  scheduler_fixture world(4, 30);
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(world.ask({.data_centre = "dc-1"}).granted());
    BOOST_TEST(world.scheduler.in_flight("t1") + world.scheduler.in_flight("t3") == i + 1);
  }
  BOOST_TEST(world.scheduler.in_flight("t1") == 2u);
}

BOOST_AUTO_TEST_CASE(avoided_targets_are_not_assigned) {
  scheduler_fixture world(2, 1);
  BOOST_TEST(world.ask({.avoided = {"t0"}}).result->target.id == "t1");
  const auto& waiting = world.ask({.avoided = {"t0"}});
  BOOST_TEST(!waiting.decided());
  // The one that waits does not keep others from the slot that it avoids.
  BOOST_TEST(world.ask({.in_time = 0ms}).result->target.id == "t0");
}

/// A late request gets the free slot though others wait, since they avoid its target.
BOOST_DATA_TEST_CASE(free_slot_that_all_waiting_ones_avoid_is_granted, data::make({1, 5, 40}),
                     waiting) {
  scheduler_fixture world(2, 1);
  world.ask({.avoided = {"t0"}});
  for (int i = 0; i < waiting; ++i)
    world.ask({.in_time = 10s, .latest = 10s, .avoided = {"t0"}});
  const auto& asked = world.ask({.in_time = 0ms, .latest = 1ms});
  BOOST_TEST(asked.granted());
}

namespace {

/// Two requests that wait for one slot; the one that was sent last comes first.
struct order_case {
  const char* name;
  scheduling::ask_options first_sent;
  scheduling::ask_options last_sent;
};

std::ostream& operator<<(std::ostream& out, const order_case& each) {
  return out << each.name;
}

const order_case order_cases[] = {
    {"in time before overdue", {.in_time = 0ms}, {.in_time = 500ms}},
    {"in time before overdue of more urgent", {.priority = 0, .in_time = 0ms}, {.priority = 5}},
    {"earlier end of the objective", {.in_time = 5s}, {.in_time = 3s}},
    {"organisation that has had nothing", {.organisation = "greedy"}, {.organisation = "modest"}},
};

} // namespace

BOOST_DATA_TEST_CASE(waiting_requests_are_served_in_order, data::make(order_cases), each) {
  scheduler_fixture world(1, 1);
  world.ask({.organisation = "greedy"});
  const auto& first_sent = world.ask(each.first_sent);
  const auto& last_sent = world.ask(each.last_sent);
  BOOST_REQUIRE(!first_sent.decided());
  BOOST_REQUIRE(!last_sent.decided());
  world.release("n0", "t0");
  BOOST_TEST(last_sent.granted());
  BOOST_TEST(!first_sent.decided());
  world.release("n0", "t0");
  BOOST_TEST(first_sent.granted());
}

BOOST_AUTO_TEST_CASE(hopeless_requests_are_refused_at_once) {
  scheduler_fixture world(1, 1);
  world.ask({});
  // Ten slots of half a second each are ahead.
  for (int i = 0; i < 10; ++i)
    world.ask({.in_time = 10s, .latest = 10s});
  const auto& hopeless = world.ask({.in_time = 300ms, .latest = 400ms});
  BOOST_REQUIRE(hopeless.is(gateway::scheduled_slot::outcome::refused));
  BOOST_TEST((hopeless.result->retry_after > 0ns));
}

BOOST_DATA_TEST_CASE(returns_of_refused_callers_are_spread, data::make({5, 20, 100}), refusals) {
  scheduler_fixture world(10, 10);
  for (int i = 0; i < 100; ++i)
    world.ask({.in_time = 0ms});
  std::vector<std::chrono::nanoseconds> returns;
  for (int i = 0; i < refusals; ++i) {
    const auto& asked = world.ask({.in_time = 0ms, .latest = 1ms});
    BOOST_REQUIRE(asked.is(gateway::scheduled_slot::outcome::refused));
    returns.push_back(asked.result->retry_after);
  }
  BOOST_TEST(std::is_sorted(returns.begin(), returns.end()));
  // 100 slots of half a second each serve 200 requests a second.
  const std::chrono::duration<double> spread = returns.back() - returns.front();
  BOOST_TEST(spread.count() >= (refusals - 1) / 200.0 * 0.99);
  BOOST_TEST((returns.back() <= 5s));
}

/// Neither reports nor absurd numbers may make a return later than callers wait.
BOOST_AUTO_TEST_CASE(returns_are_never_later_than_callers_wait) {
  scheduler_fixture world(1, 1);
  world.ask({});
  for (int i = 0; i < 5000; ++i) {
    const auto& asked = world.ask({.in_time = 0ms, .latest = 1ms});
    BOOST_REQUIRE((asked.result->retry_after <= 5s));
    BOOST_REQUIRE((asked.result->retry_after >= 0ns));
  }
}

BOOST_AUTO_TEST_CASE(cold_target_gets_a_part_of_what_it_tolerates) {
  scheduler_fixture world(1, 100);
  world.targets[0].max_starts_per_second = 10;
  world.scheduler.set_targets(world.targets, 0);
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    granted += world.ask({.in_time = 10s, .latest = 10s}).granted() ? 1 : 0;
    world.run_for(50ms);
    world.scheduler.assign();
  }
  // Ten seconds; the burst comes once.
  BOOST_TEST(world.granted() <= 10 * 10 * 0.6 + 2);
  BOOST_TEST(world.granted() >= 10 * 10 * 0.6 - 2);
}

BOOST_AUTO_TEST_CASE(target_with_unread_prompts_gets_no_further_one_until_it_has_read_them) {
  scheduler_fixture world(1, 10);
  world.scheduler.set_targets(world.targets, 10'000);
  BOOST_TEST(world.ask({.prompt_tokens = 5000}).granted());
  const auto& waiting = world.ask({.in_time = 5s, .latest = 5s, .prompt_tokens = 10});
  BOOST_TEST(!waiting.decided());
  world.run_for(800ms);
  world.scheduler.assign();
  BOOST_TEST(waiting.granted());
}

/// Callers choose the number of tokens that they state, so no number may block a target for long.
BOOST_DATA_TEST_CASE(absurd_prompts_do_not_block_targets, data::make({1e6, 1e18, 1e300}), tokens) {
  scheduler_fixture world(1, 10);
  world.scheduler.set_targets(world.targets, 50'000);
  BOOST_TEST(world.ask({.prompt_tokens = tokens}).granted());
  world.run_for(3s);
  world.keep_nodes();
  BOOST_TEST(world.ask({.prompt_tokens = 100}).granted());
  for (int i = 0; i < 100; ++i) {
    const auto& asked = world.ask({.in_time = 0ms, .latest = 1ms, .prompt_tokens = 100});
    if (asked.is(gateway::scheduled_slot::outcome::refused))
      BOOST_TEST((asked.result->retry_after <= 5s));
  }
}

BOOST_AUTO_TEST_CASE(removed_target_keeps_its_count_until_its_slots_are_free) {
  scheduler_fixture world(2, 1);
  world.ask({});
  world.ask({});
  world.scheduler.set_targets({world.targets[1]}, 0);
  BOOST_TEST(world.scheduler.in_flight("t0") == 1u);
  BOOST_TEST(world.scheduler.slots() == 1u);
  const auto& waiting = world.ask({});
  world.release("n0", "t0");
  BOOST_TEST(!waiting.decided());
  world.release("n0", "t1");
  BOOST_TEST(waiting.result->target.id == "t1");
}

BOOST_AUTO_TEST_CASE(slot_given_back_twice_is_free_once) {
  scheduler_fixture world(1, 2);
  world.ask({.node = "n0"});
  world.ask({.node = "n1"});
  world.release("n0", "t0");
  world.release("n0", "t0");
  world.release("n2", "t0");
  world.release("n0", "unknown");
  BOOST_TEST(world.scheduler.in_flight("t0") == 1u);
}

BOOST_AUTO_TEST_CASE(report_corrects_lost_give_backs_and_unknown_slots) {
  scheduler_fixture world(2, 10);
  for (int i = 0; i < 6; ++i)
    world.ask({.node = "n0", .avoided = {"t1"}});
  world.run_for(400ms);
  world.scheduler.report_held("n0", {{"t0", 2}, {"t1", 4}});
  BOOST_TEST(world.scheduler.in_flight("t0") == 2u);
  BOOST_TEST(world.scheduler.in_flight("t1") == 4u);
  world.scheduler.report_held("n0", {});
  BOOST_TEST(world.scheduler.total_in_flight() == 0u);
}

/// Messages overtake each other: the report was made after the slot was given back.
BOOST_AUTO_TEST_CASE(give_back_that_a_report_overtook_is_not_counted_twice) {
  scheduler_fixture world(1, 10);
  for (int i = 0; i < 4; ++i)
    world.ask({.node = "n0"});
  world.run_for(400ms);
  world.scheduler.report_held("n0", {{"t0", 3}}, 8);
  world.scheduler.release("n0", "t0", 7);
  BOOST_TEST(world.scheduler.in_flight("t0") == 3u);
  world.scheduler.release("n0", "t0", 9);
  BOOST_TEST(world.scheduler.in_flight("t0") == 2u);
  // A process that has started again counts from the start.
  world.scheduler.report_held("n0", {{"t0", 2}}, 1);
  world.scheduler.release("n0", "t0", 2);
  BOOST_TEST(world.scheduler.in_flight("t0") == 1u);
}

BOOST_AUTO_TEST_CASE(report_does_not_take_back_grants_on_their_way) {
  scheduler_fixture world(1, 10);
  for (int i = 0; i < 3; ++i)
    world.ask({.node = "n0"});
  world.run_for(50ms);
  world.scheduler.report_held("n0", {{"t0", 1}});
  BOOST_TEST(world.scheduler.in_flight("t0") == 3u);
  world.scheduler.report_held("n0", {});
  BOOST_TEST(world.scheduler.in_flight("t0") == 3u);
}

/// A node that gets a slot of the target all the time still gets its lost ones corrected.
BOOST_AUTO_TEST_CASE(lost_give_backs_are_corrected_beside_new_grants) {
  scheduler_fixture world(1, 30);
  for (int i = 0; i < 10; ++i)
    world.ask({.node = "n0"});
  // The node gives back these ten, but the messages are lost.
  for (int i = 0; i < 20; ++i) {
    world.run_for(100ms);
    world.ask({.node = "n0"});
    world.run_for(10ms);
    world.release("n0", "t0");
    if (i % 6 == 5)
      world.scheduler.report_held("n0", {});
  }
  BOOST_TEST(world.scheduler.in_flight("t0") <= 3u);
}

BOOST_AUTO_TEST_CASE(slots_of_a_silent_node_become_free) {
  scheduler_fixture world(1, 2);
  world.ask({.node = "gone"});
  world.ask({.node = "gone"});
  const auto& waiting = world.ask({.node = "n0", .in_time = 10s, .latest = 10s});
  world.run_for(2400ms);
  world.scheduler.report_held("n0", {});
  world.scheduler.expire();
  BOOST_TEST(!waiting.decided());
  world.run_for(200ms);
  world.scheduler.expire();
  BOOST_TEST(waiting.granted());
  BOOST_TEST(world.scheduler.total_in_flight() == 1u);
}

/// A slot that is given to a node that has gone stands empty until the node's time is over again.
BOOST_AUTO_TEST_CASE(requests_of_a_silent_node_get_no_slots) {
  scheduler_fixture world(1, 1);
  world.ask({.node = "n0"});
  const auto& of_gone = world.ask({.node = "gone", .in_time = 20s, .latest = 20s});
  for (int i = 0; i < 14; ++i) {
    world.run_for(200ms);
    world.scheduler.report_held("n0", {{"t0", 1}});
    world.scheduler.expire();
  }
  world.release("n0", "t0");
  BOOST_TEST(of_gone.decided());
  BOOST_TEST(!of_gone.granted());
  BOOST_TEST(world.scheduler.total_in_flight() == 0u);
}

BOOST_AUTO_TEST_CASE(waits_end_at_their_latest_start) {
  scheduler_fixture world(1, 1);
  world.ask({});
  const auto& waiting = world.ask({.in_time = 700ms, .latest = 700ms});
  BOOST_REQUIRE(!waiting.decided());
  world.run_for(699ms);
  world.scheduler.expire();
  BOOST_TEST(!waiting.decided());
  world.run_for(1ms);
  world.scheduler.expire();
  BOOST_TEST(waiting.is(gateway::scheduled_slot::outcome::refused));
}

BOOST_AUTO_TEST_CASE(cancelled_request_gets_no_decision_and_no_slot) {
  scheduler_fixture world(1, 1);
  world.ask({});
  const auto& cancelled = world.ask({.in_time = 5s, .latest = 5s});
  world.scheduler.cancel(cancelled.number);
  world.scheduler.end_wait(cancelled.number);
  world.release("n0", "t0");
  BOOST_TEST(!cancelled.decided());
  BOOST_TEST(world.scheduler.total_in_flight() == 0u);
  BOOST_TEST(world.scheduler.waiting() == 0u);
}

/// Only as many late requests are refused as wait in vain.
BOOST_AUTO_TEST_CASE(overdue_requests_that_can_be_served_keep_waiting) {
  scheduler_fixture world(10, 1);
  for (int i = 0; i < 10; ++i)
    world.ask({.in_time = 0ms, .latest = 10s});
  for (int i = 0; i < 60; ++i)
    world.ask({.in_time = 0ms, .latest = 10s});
  world.scheduler.expire();
  // Ten slots of half a second serve twenty in the second that late requests wait.
  BOOST_TEST(world.scheduler.waiting() >= 19u);
  BOOST_TEST(world.scheduler.waiting() <= 20u);
}

BOOST_AUTO_TEST_CASE(grants_and_refusals_are_counted_by_organisation) {
  scheduler_fixture world(1, 2);
  for (int i = 0; i < 5; ++i)
    world.ask({.organisation = "greedy", .in_time = 0ms, .latest = 1ms});
  world.release("n0", "t0");
  world.ask({.organisation = "modest"});
  const auto counts = world.scheduler.take_counts();
  BOOST_TEST(counts.at("greedy").granted == 2u);
  BOOST_TEST(counts.at("greedy").refused == 3u);
  BOOST_TEST(counts.at("modest").granted == 1u);
  BOOST_TEST(counts.at("modest").refused == 0u);
  BOOST_TEST(world.scheduler.take_counts().empty());
}

/// Decisions may lead to the next request at once.
BOOST_AUTO_TEST_CASE(decision_handlers_may_call_the_scheduler) {
  scheduler_fixture world(2, 1);
  world.ask({});
  world.ask({});
  int decided = 0;
  std::function<void(const gateway::scheduled_slot&)> again = [&](const auto& slot) {
    ++decided;
    if (decided < 50 && slot.result == gateway::scheduled_slot::outcome::granted) {
      world.scheduler.submit(world.make({.in_time = 10s, .latest = 10s}), again);
      world.scheduler.release("n0", slot.target.id);
    }
  };
  for (int i = 0; i < 5; ++i)
    world.scheduler.submit(world.make({.in_time = 10s, .latest = 10s}), again);
  world.release("n0", "t0");
  BOOST_TEST(decided >= 50);
  BOOST_TEST(world.scheduler.total_in_flight() <= 2u);
}
