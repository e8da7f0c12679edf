#include "camphorlug/edge/liveness_checker.h"

#include "camphorlug/support/virtual_clock.h"

#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

/// Answers each question after `delay`: the target runs until the question `ends_before`.
class slow_prober final : public replicas::instance_prober {
public:
  explicit slow_prober(support::clock& time) : time_(time) {}

  support::task<bool> probe(gateway::target_entry) override { co_return false; }
  support::task<replicas::report_result> report(gateway::target_entry) override {
    co_return replicas::report_result{};
  }
  support::task<replicas::process_state> ask_process(gateway::target_entry) override {
    const bool runs = ++questions < ends_before;
    if (throws)
      throw std::runtime_error("unexpected");
    co_await time_.sleep_for(delay);
    co_return runs ? replicas::process_state::running : replicas::process_state::ended;
  }

  int questions = 0;
  int ends_before = 1'000'000;
  bool throws = false;
  std::chrono::milliseconds delay{100};

private:
  support::clock& time_;
};

struct checker_fixture {
  ~checker_fixture() { clock.shut_down(); }

  void ask(std::optional<bool>& result, std::chrono::milliseconds timeout = 1s,
           const std::string& target = "one") {
    gateway::target_entry entry;
    entry.id = target;
    const auto run = [this, entry, timeout](std::optional<bool>& answer) -> support::task<> {
      answer = co_await checker.is_running(entry, timeout);
    };
    support::spawn(context.get_executor(), "question", run(result));
    clock.run_for(0ms);
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random{1};
  fakes::scripted_client client{clock};
  slow_prober targets{clock};
  gateway::path_monitor paths{clock};
  gateway::target_sender sender{clock, random, client, paths,
                                [] { return std::vector<gateway::relay_node>{}; }};
  edge::assisted_prober prober{clock, client, targets, paths, sender};
  gateway::target_registry registry{clock};
  edge::departure_checker departures{
      {clock, registry, []() -> support::task<bool> { co_return false; }}, {}};
  edge::liveness_checker checker{context.get_executor(), clock, prober, departures};
};

} // namespace

BOOST_AUTO_TEST_CASE(end_is_not_judged_by_a_question_that_was_sent_before_it) {
  checker_fixture world;
  world.targets.ends_before = 2;
  std::optional<bool> before;
  std::optional<bool> after;
  world.ask(before);
  world.clock.run_for(50ms);
  world.ask(after);
  world.clock.run_for(1s);
  BOOST_TEST(before.value());
  BOOST_TEST(!after.value());
}

BOOST_AUTO_TEST_CASE(responses_that_end_while_their_target_is_asked_share_the_next_question) {
  checker_fixture world;
  std::vector<std::optional<bool>> results(20);
  for (std::optional<bool>& each : results)
    world.ask(each);
  world.clock.run_for(1s);
  for (const std::optional<bool>& each : results)
    BOOST_TEST(each.value());
  BOOST_TEST(world.targets.questions == 2);
}

BOOST_AUTO_TEST_CASE(target_that_does_not_answer_in_time_is_not_known_to_run) {
  checker_fixture world;
  world.targets.delay = 500ms;
  std::optional<bool> late;
  world.ask(late, 100ms);
  world.clock.run_for(110ms);
  BOOST_TEST(!late.value());
  world.clock.run_for(1s);
  std::optional<bool> in_time;
  world.ask(in_time);
  world.clock.run_for(1s);
  BOOST_TEST(in_time.value());
}

BOOST_AUTO_TEST_CASE(question_that_fails_holds_no_response) {
  checker_fixture world;
  world.targets.throws = true;
  std::optional<bool> first;
  world.ask(first);
  world.clock.run_for(10ms);
  BOOST_TEST(!first.value());
  world.targets.throws = false;
  std::optional<bool> second;
  world.ask(second);
  world.clock.run_for(200ms);
  BOOST_TEST(second.value());
}
