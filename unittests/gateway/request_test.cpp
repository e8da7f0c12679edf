#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Behaviour of the first target. The second target always serves the request.
enum class target_behaviour {
  serves,
  not_connected,
  refuses,
  wrong_instance,
  resets,
  cuts_body,
  fails,
  answers_another_request,
  silent,
};

std::ostream& operator<<(std::ostream& out, target_behaviour each) {
  return out << "first target " << static_cast<int>(each);
}

scripted_answer script_of(target_behaviour behaviour) {
  scripted_answer script = complete_answer();
  switch (behaviour) {
  case target_behaviour::serves:
    break;
  case target_behaviour::not_connected:
    script.refused = true;
    break;
  case target_behaviour::refuses:
    return refusal();
  case target_behaviour::wrong_instance:
    script.status = 421;
    break;
  case target_behaviour::resets:
    script.pieces.clear();
    script.end = answer_ending::reset;
    break;
  case target_behaviour::cuts_body:
    script.pieces = {"who"};
    script.end = answer_ending::reset;
    break;
  case target_behaviour::fails:
    script.status = 500;
    break;
  case target_behaviour::answers_another_request:
    script.headers = {};
    script.headers.add("Id", "another");
    break;
  case target_behaviour::silent:
    script.pieces.clear();
    script.end = answer_ending::silence;
    break;
  }
  return script;
}

struct expectation {
  target_behaviour behaviour;
  /// Expected status of a repeatable request.
  int repeatable_status;
  /// Expected status of a request that is not repeatable.
  int non_repeatable_status;
  /// Number of targets that receive a request that is not repeatable.
  std::size_t non_repeatable_attempts;
};

std::ostream& operator<<(std::ostream& out, const expectation& each) {
  return out << each.behaviour;
}

const expectation expectations[] = {
    {target_behaviour::serves, 200, 200, 1},
    {target_behaviour::not_connected, 200, 200, 1},
    {target_behaviour::refuses, 200, 200, 2},
    {target_behaviour::wrong_instance, 200, 200, 2},
    {target_behaviour::resets, 200, 502, 1},
    {target_behaviour::cuts_body, 200, 502, 1},
    {target_behaviour::fails, 200, 500, 1},
    {target_behaviour::answers_another_request, 200, 502, 1},
    {target_behaviour::silent, 200, 504, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(repeatable_request_succeeds_for_any_first_target, data::make(expectations),
                     each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(each.behaviour));
  recording_writer writer;
  world.begin("/plain/x", writer);
  // Added only now, so that the first attempt goes to target "one".
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == each.repeatable_status);
  BOOST_TEST(writer.body == "whole body");
}

BOOST_DATA_TEST_CASE(non_repeatable_request_is_executed_at_most_once, data::make(expectations),
                     each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(each.behaviour));
  recording_writer writer;
  world.begin("/once/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == each.non_repeatable_status);
  BOOST_TEST(world.client.received.size() == each.non_repeatable_attempts);
}

namespace {

struct unreached_targets {
  /// Targets that are tried first and refuse connections.
  std::size_t count;
  int status;
};

std::ostream& operator<<(std::ostream& out, const unreached_targets& each) {
  return out << each.count << " targets refuse connections";
}

const unreached_targets unreached[] = {{1, 200}, {2, 200}, {3, 200}, {4, 503}, {10, 503}};

} // namespace

// The route allows one attempt. A target that was not reached has not been sent the request.
BOOST_DATA_TEST_CASE(refused_connections_use_up_no_attempt, data::make(unreached), each) {
  gateway_fixture world;
  for (std::size_t i = 0; i < each.count; ++i) {
    const std::string id = "gone" + std::to_string(i);
    world.add_target(id);
    world.answer(id, script_of(target_behaviour::not_connected));
  }
  recording_writer writer;
  world.begin("/single/x", writer);
  world.add_target("sound");
  world.answer("sound", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == each.status);
  BOOST_TEST(world.client.received.size() == (each.status == 200 ? 1 : 0));
}

// The registry learns of the new start while the request waits for a target.
BOOST_AUTO_TEST_CASE(target_that_has_started_again_is_tried_again_after_a_refused_connection) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(target_behaviour::not_connected));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.clock.run_for(50ms);
  gateway::target_entry restarted =
      world.registry.find("one") ? *world.registry.find("one") : gateway::target_entry{};
  restarted.started_at_ms = 1000;
  world.answer("one", complete_answer());
  world.registry.update("one", 100, restarted);
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
}

BOOST_AUTO_TEST_CASE(request_that_a_target_has_refused_has_used_its_attempt) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", refusal());
  recording_writer writer;
  world.begin("/single/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 503);
  BOOST_TEST(world.client.received.size() == 1);
}

// A 503 with Retry-After promises the caller that the request was not executed.
BOOST_AUTO_TEST_CASE(refusal_by_all_targets_yields_503_with_retry_after) {
  gateway_fixture world;
  world.add_target("one");
  world.add_target("two");
  world.answer("one", refusal());
  world.answer("two", refusal());
  const auto writer = world.call("/once/x");
  BOOST_TEST(writer->status == 503);
  const int wait = std::stoi(writer->headers.find("Retry-After-Ms").value_or("0"));
  BOOST_TEST(wait >= 100);
  BOOST_TEST(wait <= 4000 / 3);
}

// That promise must not be made once a target may have executed the request.
BOOST_AUTO_TEST_CASE(no_retry_after_when_request_may_have_executed) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(target_behaviour::resets));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", refusal());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 502);
  BOOST_TEST(!writer.headers.find("Retry-After-Ms"));
}

BOOST_AUTO_TEST_CASE(request_without_targets_is_refused_at_once) {
  gateway_fixture world;
  const auto started_at = world.clock.now();
  const auto writer = world.call("/plain/x");
  BOOST_TEST(writer->status == 503);
  BOOST_TEST(((world.clock.now() - started_at) < 50ms));
}

BOOST_AUTO_TEST_CASE(unresponsive_target_yields_504_at_the_deadline) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(target_behaviour::silent));
  const auto started_at = world.clock.now();
  const auto writer = world.call("/once/x", 1s);
  BOOST_TEST(writer->status == 504);
  BOOST_TEST(((world.clock.now() - started_at) <= 1020ms));
}

BOOST_AUTO_TEST_CASE(each_attempt_carries_the_remaining_time) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer late = complete_answer(500);
  late.delay = 600ms;
  world.answer("one", late);
  recording_writer writer;
  world.begin("/plain/x", writer, 3s);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_REQUIRE(world.client.received.size() == 2);
  const int first = std::stoi(*world.client.received[0].headers.find("Left"));
  const int second = std::stoi(*world.client.received[1].headers.find("Left"));
  BOOST_TEST(first <= 3000);
  BOOST_TEST(first > 2900);
  BOOST_TEST(second <= 2400);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_the_request) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", script_of(target_behaviour::silent));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.clock.run_for(50ms);
  BOOST_TEST(world.client.aborted_exchanges == 0);
  writer.disconnect();
  world.clock.run_for(50ms);
  BOOST_TEST(world.client.aborted_exchanges == 1);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(world.loads.in_flight("one") == 0);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_removes_a_queued_request) {
  gateway_fixture world;
  world.add_target("one", 1);
  scripted_answer slow = complete_answer();
  slow.delay = 100ms;
  world.answer("one", slow);
  world.answer("one", complete_answer());
  recording_writer first;
  recording_writer second;
  // A short hold time, because the second request is refused at once if its wait is too long.
  world.queue.update_hold_estimate({"shop", ""}, 50ms);
  world.begin("/plain/x", first);
  world.begin("/plain/x", second);
  BOOST_REQUIRE(world.queue.waiting() == 1);
  second.disconnect();
  world.clock.run_for(2s);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.status == 0);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(closing_node_rejects_new_streams) {
  gateway_fixture world;
  world.shutdown.phase = gateway::shutdown_phase::closing;
  world.add_target("one");
  world.answer("one", complete_answer());
  const auto stream = world.call("/stream/x");
  BOOST_TEST(stream->status == 503);
  BOOST_TEST(stream->headers.find("Retry-After-Ms").has_value());
  BOOST_TEST(stream->headers.find("Connection").value_or("") == "close");
  BOOST_TEST(world.client.received.empty());
  BOOST_TEST(world.call("/plain/x")->status == 200);
}

namespace {

/// A request that reaches a node with 5 s until its exit.
struct late_arrival {
  const char* name;
  gateway::shutdown_phase phase;
  bool others_serve;
  std::chrono::milliseconds usual_duration;
  std::chrono::milliseconds time_limit;
  int status;
};

std::ostream& operator<<(std::ostream& out, const late_arrival& each) {
  return out << each.name;
}

const late_arrival late_arrivals[] = {
    {"no shutdown", gateway::shutdown_phase::none, true, 4s, 10s, 200},
    {"short requests", gateway::shutdown_phase::leaving, true, 1s, 10s, 200},
    {"long requests", gateway::shutdown_phase::leaving, true, 4s, 10s, 503},
    {"long requests that end in time", gateway::shutdown_phase::leaving, true, 4s, 3s, 200},
    {"long requests, no other node", gateway::shutdown_phase::leaving, false, 4s, 10s, 200},
    {"requests that cannot end in time, no other node", gateway::shutdown_phase::leaving, false, 6s,
     10s, 503},
};

} // namespace

BOOST_DATA_TEST_CASE(node_that_ends_takes_only_what_it_can_finish, data::make(late_arrivals),
                     each) {
  gateway_fixture world(10s);
  world.shutdown = {each.phase, world.clock.now() + 5s, each.others_serve};
  world.queue.update_hold_estimate({"shop", ""}, each.usual_duration);
  world.add_target("one");
  world.answer("one", events(1, 3));
  const auto writer = world.call("/stream/x", each.time_limit);
  BOOST_TEST(writer->status == each.status);
  BOOST_TEST(writer->headers.find("Retry-After-Ms").has_value() == (each.status == 503));
  BOOST_TEST(world.client.received.size() == (each.status == 503 ? 0 : 1));
}

namespace {

/// A request that may run once and reaches a node in the closing phase.
struct last_arrival {
  const char* name;
  std::chrono::milliseconds until_exit;
  std::chrono::milliseconds time_limit;
  int status;
};

std::ostream& operator<<(std::ostream& out, const last_arrival& each) {
  return out << each.name;
}

const last_arrival last_arrivals[] = {
    {"its time limit ends before the node", 1900ms, 1800ms, 200},
    {"a target that pauses ends before the node", 2500ms, 4s, 200},
    {"a target that pauses may end after the node", 1900ms, 4s, 503},
    {"a usual request ends before the node, just", 300ms, 4s, 503},
};

} // namespace

// Load pattern: targets fall silent for a second or so, while callers go on using their open
// connections to a node that ends.
BOOST_DATA_TEST_CASE(closing_node_takes_no_request_that_a_pause_would_cut,
                     data::make(last_arrivals), each) {
  gateway_fixture world(10s);
  world.shutdown = {gateway::shutdown_phase::closing, world.clock.now() + each.until_exit, true};
  world.queue.update_hold_estimate({"shop", ""}, 100ms);
  world.add_target("one");
  world.answer("one", complete_answer());
  const auto writer = world.call("/single/x", each.time_limit);
  BOOST_TEST(writer->status == each.status);
  BOOST_TEST(world.client.received.size() == (each.status == 503 ? 0 : 1));
}

namespace {

/// A request in progress when its node ends.
struct unfinished_request {
  const char* name;
  const char* path;
  /// The target's answer; none if the request waits for a slot.
  std::optional<scripted_answer> answer;
  int status;
  bool whole;
};

std::ostream& operator<<(std::ostream& out, const unfinished_request& each) {
  return out << each.name;
}

scripted_answer silent_answer() {
  scripted_answer script = complete_answer();
  script.pieces.clear();
  script.end = answer_ending::silence;
  return script;
}

const unfinished_request unfinished_requests[] = {
    {"a request that may run once", "/single/x", silent_answer(), 502, true},
    {"a repeatable request", "/plain/x", silent_answer(), 502, true},
    {"a stream that has not begun", "/stream/x", silent_answer(), 502, true},
    {"a request that waits for a slot", "/single/x", std::nullopt, 503, true},
    // Only a broken connection tells its caller that the rest is missing.
    {"a stream that has begun", "/stream/x", events(1, 2, answer_ending::silence), 200, false},
};

} // namespace

BOOST_DATA_TEST_CASE(requests_in_progress_are_answered_before_the_process_ends,
                     data::make(unfinished_requests), each) {
  gateway_fixture world(10s);
  scripted_answer slow = complete_answer();
  slow.delay = 9s;
  world.add_target("one", 1);
  world.answer("one", each.answer.value_or(slow));
  // A short hold time, because the second request is refused at once if its wait is too long.
  world.queue.update_hold_estimate({"shop", ""}, 50ms);
  recording_writer earlier;
  if (!each.answer)
    world.begin("/single/x", earlier, 10s);
  recording_writer writer;
  world.begin(each.path, writer, 10s);
  world.clock.run_for(100ms);
  BOOST_REQUIRE(!writer.finished);
  world.shutdown = {gateway::shutdown_phase::closing, world.clock.now(), true};
  world.gateway.end_requests();
  BOOST_TEST(writer.status == each.status);
  BOOST_TEST(writer.finished == each.whole);
  if (each.whole)
    BOOST_TEST(writer.headers.find("Connection").value_or("") == "close");
  const std::size_t sent = world.client.received.size();
  world.clock.run_for(200ms);
  BOOST_TEST(world.unfinished == (each.whole ? 0 : 1));
  BOOST_TEST(world.client.received.size() == sent);
}

// A caller that was not told so would send its next request to the node that ends.
BOOST_AUTO_TEST_CASE(response_to_a_request_from_before_the_shutdown_closes_its_connection) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer slow = complete_answer();
  slow.delay = 500ms;
  world.answer("one", slow);
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.clock.run_for(100ms);
  world.shutdown.phase = gateway::shutdown_phase::leaving;
  world.clock.run_for(2s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.headers.find("Connection").value_or("") == "close");
}

BOOST_AUTO_TEST_CASE(leaving_node_closes_connections_after_responses) {
  gateway_fixture world;
  world.shutdown.phase = gateway::shutdown_phase::leaving;
  world.add_target("one");
  world.answer("one", complete_answer());
  const auto writer = world.call("/plain/x");
  BOOST_TEST(writer->status == 200);
  BOOST_TEST(writer->headers.find("Connection").value_or("") == "close");
}

namespace {

struct rejection {
  const char* path;
  const char* key;
  int status;
};

std::ostream& operator<<(std::ostream& out, const rejection& each) {
  return out << each.path << " " << each.key;
}

const rejection rejections[] = {
    {"/nowhere/x", "key", 404}, {"/plain/x", "another", 401}, {"/plain/x", "", 401}};

} // namespace

BOOST_DATA_TEST_CASE(rejected_requests_reach_no_target, data::make(rejections), each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", complete_answer());
  net::server_request request;
  request.path = each.path;
  request.headers.add("Host", "example");
  if (*each.key)
    request.headers.add("Key", each.key);
  recording_writer writer;
  support::spawn(world.context.get_executor(), "call",
                 world.gateway.handle(std::move(request), writer));
  world.clock.run_for(100ms);
  BOOST_TEST(writer.status == each.status);
  BOOST_TEST(world.client.received.empty());
}
