#include "fakes/gateway_world.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// How the first target treats a request; the second one always serves.
enum class first_target {
  serves,
  not_connected,
  refuses,
  wrong_instance,
  resets,
  cuts_body,
  fails,
  answers_another,
  silent,
};

std::ostream& operator<<(std::ostream& out, first_target each) {
  return out << "first target " << static_cast<int>(each);
}

scripted_answer script_of(first_target how) {
  scripted_answer script = whole_answer();
  switch (how) {
  case first_target::serves:
    break;
  case first_target::not_connected:
    script.refused = true;
    break;
  case first_target::refuses:
    return refusal();
  case first_target::wrong_instance:
    script.status = 421;
    break;
  case first_target::resets:
    script.pieces.clear();
    script.end = script_end::reset;
    break;
  case first_target::cuts_body:
    script.pieces = {"who"};
    script.end = script_end::reset;
    break;
  case first_target::fails:
    script.status = 500;
    break;
  case first_target::answers_another:
    script.headers = {};
    script.headers.add("Id", "another");
    break;
  case first_target::silent:
    script.pieces.clear();
    script.end = script_end::silence;
    break;
  }
  return script;
}

struct expectation {
  first_target how;
  /// Status that the caller of a repeatable request gets, and of one that is not.
  int repeatable;
  int once;
  /// Targets that get the request when it is not repeatable.
  std::size_t sent_once;
};

std::ostream& operator<<(std::ostream& out, const expectation& each) {
  return out << each.how;
}

const expectation expectations[] = {
    {first_target::serves, 200, 200, 1},  {first_target::not_connected, 200, 200, 1},
    {first_target::refuses, 200, 200, 2}, {first_target::wrong_instance, 200, 200, 2},
    {first_target::resets, 200, 502, 1},  {first_target::cuts_body, 200, 502, 1},
    {first_target::fails, 200, 500, 1},   {first_target::answers_another, 200, 502, 1},
    {first_target::silent, 200, 504, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(repeatable_request_survives_one_target, data::make(expectations), each) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", script_of(each.how));
  recording_writer writer;
  world.begin("/plain/x", writer);
  // It comes only now, so that the first sending went to the other one.
  world.add_target("two");
  world.answer("two", whole_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == each.repeatable);
  BOOST_TEST(writer.body == "whole body");
}

BOOST_DATA_TEST_CASE(request_that_may_run_once_is_sent_once, data::make(expectations), each) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", script_of(each.how));
  recording_writer writer;
  world.begin("/once/x", writer);
  world.add_target("two");
  world.answer("two", whole_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == each.once);
  BOOST_TEST(world.client.received.size() == each.sent_once);
}

BOOST_AUTO_TEST_CASE(refusals_everywhere_promise_not_run_with_a_time_to_return) {
  gateway_world world;
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

BOOST_AUTO_TEST_CASE(a_run_is_never_followed_by_a_promise) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", script_of(first_target::resets));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", refusal());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 502);
  BOOST_TEST(!writer.headers.find("Retry-After-Ms"));
}

BOOST_AUTO_TEST_CASE(hopeless_request_is_refused_at_once) {
  gateway_world world;
  const auto began = world.clock.now();
  const auto writer = world.call("/plain/x");
  BOOST_TEST(writer->status == 503);
  BOOST_TEST(((world.clock.now() - began) < 50ms));
}

BOOST_AUTO_TEST_CASE(silent_target_ends_at_the_time_limit) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", script_of(first_target::silent));
  const auto began = world.clock.now();
  const auto writer = world.call("/once/x", 1s);
  BOOST_TEST(writer->status == 504);
  BOOST_TEST(((world.clock.now() - began) <= 1020ms));
}

BOOST_AUTO_TEST_CASE(each_sending_is_told_the_time_that_is_left) {
  gateway_world world;
  world.add_target("one");
  scripted_answer late = whole_answer(500);
  late.delay = 600ms;
  world.answer("one", late);
  recording_writer writer;
  world.begin("/plain/x", writer, 3s);
  world.add_target("two");
  world.answer("two", whole_answer());
  world.clock.run_for(5s);
  BOOST_REQUIRE(world.client.received.size() == 2);
  const int first = std::stoi(*world.client.received[0].headers.find("Left"));
  const int second = std::stoi(*world.client.received[1].headers.find("Left"));
  BOOST_TEST(first <= 3000);
  BOOST_TEST(first > 2900);
  BOOST_TEST(second <= 2400);
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_takes_its_request_along) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", script_of(first_target::silent));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.clock.run_for(50ms);
  BOOST_TEST(world.client.broken_off == 0);
  writer.leave();
  world.clock.run_for(50ms);
  BOOST_TEST(world.client.broken_off == 1);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(world.loads.in_flight("one") == 0);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(waiting_caller_that_leaves_is_never_sent) {
  gateway_world world;
  world.add_target("one", 1);
  scripted_answer slow = whole_answer();
  slow.delay = 100ms;
  world.answer("one", slow);
  world.answer("one", whole_answer());
  recording_writer first;
  recording_writer second;
  // Short enough to be worth waiting for: otherwise the second one is refused at once.
  world.line.update_hold_estimate({"shop", ""}, 50ms);
  world.begin("/plain/x", first);
  world.begin("/plain/x", second);
  BOOST_REQUIRE(world.line.waiting() == 1);
  second.leave();
  world.clock.run_for(2s);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.status == 0);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(closing_node_begins_no_stream_that_it_would_cut) {
  gateway_world world;
  world.phase = gateway::shutdown_phase::closing;
  world.add_target("one");
  world.answer("one", whole_answer());
  const auto stream = world.call("/stream/x");
  BOOST_TEST(stream->status == 503);
  BOOST_TEST(stream->headers.find("Retry-After-Ms").has_value());
  BOOST_TEST(stream->headers.find("Connection").value_or("") == "close");
  BOOST_TEST(world.client.received.empty());
  BOOST_TEST(world.call("/plain/x")->status == 200);
}

BOOST_AUTO_TEST_CASE(leaving_node_closes_connections_with_its_answers) {
  gateway_world world;
  world.phase = gateway::shutdown_phase::leaving;
  world.add_target("one");
  world.answer("one", whole_answer());
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

BOOST_DATA_TEST_CASE(improper_requests_reach_no_target, data::make(rejections), each) {
  gateway_world world;
  world.add_target("one");
  world.answer("one", whole_answer());
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
