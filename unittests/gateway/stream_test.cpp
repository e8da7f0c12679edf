#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct broken_stream {
  const char* name;
  scripted_answer script;
  /// Number of events that may be forwarded to the caller.
  int valid_events;
};

std::ostream& operator<<(std::ostream& out, const broken_stream& each) {
  return out << each.name;
}

scripted_answer with_piece(scripted_answer script, const std::string& piece) {
  script.pieces.push_back(piece);
  return script;
}

const std::vector<broken_stream> broken_streams = {
    {"reset between events", events(1, 3, answer_ending::reset), 3},
    {"no data after an event", events(1, 3, answer_ending::silence), 3},
    {"reset within an event", with_piece(events(1, 3, answer_ending::reset), "id: 4\nda"), 3},
    {"ended within an event", with_piece(events(1, 3), "id: 4\nda"), 3},
    {"an event is missing", with_piece(events(1, 3), "id: 5\ndata: x\n\n"), 3},
    {"a repeated event", with_piece(events(1, 3), "id: 3\ndata: x\n\n"), 3},
    {"bytes that are not an event", with_piece(events(1, 2), "garbage\n\n"), 2},
};

std::string stream_text(int first, int last) {
  std::string text;
  for (const std::string& piece : events(first, last).pieces)
    text += piece;
  return text;
}

} // namespace

BOOST_DATA_TEST_CASE(resumable_stream_resumes_at_another_target, data::make(broken_streams), each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", each.script);
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(each.valid_events + 1, 6));
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(!writer.aborted);
  BOOST_TEST(writer.body == stream_text(1, 6));
  BOOST_REQUIRE(world.client.received.size() == 2);
  BOOST_TEST(world.client.received[1].headers.find("After").value_or("") ==
             std::to_string(each.valid_events));
}

BOOST_DATA_TEST_CASE(non_resumable_stream_is_aborted_and_not_retried, data::make(broken_streams),
                     each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", each.script);
  recording_writer writer;
  world.begin("/cut/x", writer);
  world.add_target("two");
  world.answer("two", events(1, 6));
  world.clock.run_for(10s);
  BOOST_TEST(writer.aborted);
  BOOST_TEST(!writer.finished);
  BOOST_TEST(writer.body == stream_text(1, each.valid_events));
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_without_a_second_target_is_aborted) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", events(1, 3, answer_ending::reset));
  const auto writer = world.call("/stream/x");
  BOOST_TEST(writer->aborted);
  BOOST_TEST(!writer->finished);
}

BOOST_AUTO_TEST_CASE(resume_point_of_the_caller_is_forwarded) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", events(8, 9));
  net::server_request request;
  request.path = "/stream/x";
  request.headers.add("Host", "example");
  request.headers.add("Id", "r1");
  request.headers.add("Key", "key");
  request.headers.add("After", "7");
  recording_writer writer;
  support::spawn(world.context.get_executor(), "call",
                 world.gateway.handle(std::move(request), writer));
  world.clock.run_for(1s);
  BOOST_TEST(writer.finished);
  BOOST_TEST(world.client.received[0].headers.find("After").value_or("") == "7");
}

BOOST_AUTO_TEST_CASE(stalled_engine_loses_streams_before_their_own_timeout) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", events(1, 3, answer_ending::silence));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(4, 6));
  const auto started_at = world.clock.now();
  while (!writer.finished && world.clock.now() - started_at < 3s) {
    world.clock.run_for(50ms);
    world.stalls.check();
  }
  BOOST_TEST(writer.finished);
  BOOST_TEST(((world.clock.now() - started_at) < gateway::stall_detector::stall_timeout + 150ms));
}

namespace {

/// A stream whose first event arrives long after the objective of 300 ms.
scripted_answer late_events(int first, int last) {
  scripted_answer script = events(first, last);
  script.delay = 2s;
  script.pause = 1ms;
  return script;
}

} // namespace

BOOST_AUTO_TEST_CASE(late_stream_stays_at_a_target_that_writes_to_others) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer steady = events(1, 40);
  steady.delay = 100ms;
  world.answer("one", steady);
  world.answer("one", late_events(1, 3));
  recording_writer first;
  recording_writer second;
  world.begin("/stream/x", first);
  world.clock.run_for(500ms);
  world.begin("/stream/x", second);
  world.add_target("two");
  world.answer("two", events(1, 3));
  world.clock.run_for(5s);
  BOOST_TEST(first.finished);
  BOOST_TEST(second.status == 200);
  BOOST_TEST(second.finished);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(!world.suspicions.suspected("one"));
}

BOOST_AUTO_TEST_CASE(late_stream_stays_when_no_retry_is_left) {
  gateway_fixture world;
  world.retries.change_limits({0, 10s, 0});
  world.add_target("one");
  world.answer("one", late_events(1, 3));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(late_stream_stays_when_no_other_target_has_a_free_slot) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", late_events(1, 3));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
}

BOOST_AUTO_TEST_CASE(late_stream_leaves_an_inactive_target) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", late_events(1, 3));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(1, 3));
  world.clock.run_for(1500ms);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(world.client.received.size() == 2);
}
