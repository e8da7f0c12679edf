#include "fakes/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;

namespace {

struct queue_fixture : gateway_fixture {
  // Ends the waiting tasks before the members that they write to are destroyed.
  ~queue_fixture() { clock.shut_down(); }

  /// Acquires a slot, records the order in `served`, and holds the slot for 100 ms.
  support::task<> acquire_slot(std::string name, int priority, std::chrono::milliseconds wait) {
    gateway::slot_queue::slot_request request{
        {"shop", ""}, {priority, clock.now() + 1s}, {}, nullptr};
    const auto until = clock.now() + wait;
    auto slot = co_await queue.acquire(std::move(request), until);
    served += slot ? name : "(" + name + ")";
    if (slot)
      co_await clock.sleep_for(100ms);
  }

  void spawn(const std::string& name, int priority, std::chrono::milliseconds wait = 10s) {
    support::spawn(context.get_executor(), "acquire_slot", acquire_slot(name, priority, wait));
    clock.run_for(1ms);
  }

  std::string served;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(urgent_requests_go_first_and_equal_ranks_in_arrival_order, queue_fixture) {
  add_target("one", 1);
  spawn("a", 5);
  spawn("b", 5);
  spawn("c", 5);
  spawn("d", 1);
  clock.run_for(1s);
  BOOST_TEST(served == "adbc");
  BOOST_TEST(loads.in_flight("one") == 0);
  BOOST_TEST(queue.waiting() == 0);
}

BOOST_FIXTURE_TEST_CASE(wait_ends_at_its_limit, queue_fixture) {
  add_target("one", 1);
  spawn("a", 5);
  spawn("b", 5, 50ms);
  spawn("c", 5);
  clock.run_for(1s);
  BOOST_TEST(served == "a(b)c");
}

BOOST_FIXTURE_TEST_CASE(assigned_slot_is_given_back_when_the_wait_ends_with_an_exception,
                        queue_fixture) {
  add_target("one", 1);
  loads.update_peer("peer", {{"one", 1}});
  spawn("a", 5);
  loads.update_peer("peer", {});
  queue.assign_free_slots();
  BOOST_TEST(loads.in_flight("one") == 1);
  // The wait ends before the request has seen its slot.
  clock.shut_down();
  context.restart();
  context.poll();
  BOOST_TEST(served.empty());
  BOOST_TEST(loads.in_flight("one") == 0);
}

BOOST_FIXTURE_TEST_CASE(assigned_slot_of_a_leaving_target_is_given_back, queue_fixture) {
  add_target("one", 1);
  loads.update_peer("peer", {{"one", 1}});
  spawn("a", 5, 500ms);
  loads.update_peer("peer", {});
  queue.assign_free_slots();
  BOOST_TEST(loads.in_flight("one") == 1);
  // The target says so before the request has seen its slot.
  registry.mark_leaving("one", 0);
  clock.run_for(10ms);
  BOOST_TEST(served.empty());
  BOOST_TEST(loads.in_flight("one") == 0);
  add_target("two", 1);
  clock.run_for(10ms);
  BOOST_TEST(served == "a");
}

BOOST_FIXTURE_TEST_CASE(requests_of_peers_occupy_slots, queue_fixture) {
  add_target("one", 2);
  loads.update_peer("peer", {{"one", 2}});
  spawn("a", 5, 500ms);
  clock.run_for(100ms);
  BOOST_TEST(served.empty());
  loads.update_peer("peer", {});
  queue.assign_free_slots();
  clock.run_for(10ms);
  BOOST_TEST(served == "a");
}

BOOST_FIXTURE_TEST_CASE(expected_wait_grows_with_the_queue, queue_fixture) {
  add_target("one", 1);
  const gateway::target_pool pool{"shop", ""};
  const gateway::queue_rank rank{5, clock.now() + 5s};
  BOOST_TEST((queue.expected_wait(pool, rank) == 0ns));
  queue.update_hold_estimate(pool, 100ms);
  spawn("a", 5);
  const auto behind_one = queue.expected_wait(pool, rank);
  spawn("b", 5);
  spawn("c", 5);
  BOOST_TEST((behind_one > 0ns));
  BOOST_TEST((queue.expected_wait(pool, rank) > 2 * behind_one));
  // A more urgent request doesn't wait for them.
  BOOST_TEST((queue.expected_wait(pool, {1, clock.now()}) == behind_one));
}

namespace {

/// Schedules all pools and grants nothing.
struct distant_scheduler final : gateway::slot_scheduler {
  bool schedules(const gateway::target_pool&) override { return true; }
  support::task<gateway::scheduled_slot> acquire(gateway::slot_request,
                                                 support::clock::time_point) override {
    co_return gateway::scheduled_slot{};
  }
  void release(const gateway::target_pool&, const std::string&) override {}
};

} // namespace

// A node without a share of a cold target would send nothing by itself, but its scheduler may.
BOOST_FIXTURE_TEST_CASE(scheduler_is_asked_when_all_targets_are_cold, queue_fixture) {
  gateway::cold_targets cold(clock);
  auto changed = std::make_shared<gateway::routing_config>(*config.current());
  changed->services["shop"].cold_requests_per_second = 26;
  ++changed->version;
  config.update_if_newer(changed);
  chooser.set_cold_targets(&cold, &config);
  add_target("one");
  registry.mark_cold("one", {registry.find("one")->started_at_ms, 60s});
  const gateway::target_pool pool{"shop", ""};
  BOOST_TEST(queue.paused_until(pool, {}).has_value());
  distant_scheduler scheduler;
  queue.set_scheduler(&scheduler);
  BOOST_TEST(!queue.paused_until(pool, {}).has_value());
  BOOST_TEST(queue.withholds_cold(pool, {}));
  pauses.pause("one", registry.find("one")->started_at_ms, 60s);
  BOOST_TEST(queue.paused_until(pool, {}).has_value());
  queue.set_scheduler(nullptr);
}
