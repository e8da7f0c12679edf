#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Guards against ORDER: a stream that ends as complete before its last event.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr int last_event = 6;

std::string stream_text(int first, int last) {
  std::string text;
  for (const std::string& piece : events(first, last).pieces)
    text += piece;
  return text;
}

scripted_answer closed_by_target(scripted_answer script) {
  script.framing = net::body_framing::connection_close;
  return script;
}

scripted_answer without_body(scripted_answer script) {
  script.pieces.clear();
  return script;
}

struct useless_answer {
  const char* name;
  scripted_answer script;
};

std::ostream& operator<<(std::ostream& out, const useless_answer& each) {
  return out << each.name;
}

/// What a target may answer to a resumed request without going on with the stream.
const std::vector<useless_answer> useless_answers = {
    {"404", complete_answer(404)},
    {"400", complete_answer(400)},
    {"302", complete_answer(302)},
    {"500", complete_answer(500)},
    {"204", without_body(complete_answer(204))},
    {"no event, in chunks", without_body(events(1, 0))},
    {"no event, closed", closed_by_target(without_body(events(1, 0)))},
};

} // namespace

BOOST_DATA_TEST_CASE(resumed_run_that_gives_nothing_does_not_replace_a_silent_one,
                     data::make(useless_answers), each) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer paused = events(1, last_event);
  paused.silences[3] = 1200ms;
  world.answer("one", paused);
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", each.script);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(1, last_event));
}

BOOST_DATA_TEST_CASE(resumed_run_that_gives_nothing_does_not_end_a_broken_stream,
                     data::make(useless_answers), each) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", events(1, 3, answer_ending::reset));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", each.script);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(writer.aborted);
  BOOST_TEST(!writer.finished);
  BOOST_TEST(writer.body == stream_text(1, 3));
}

BOOST_DATA_TEST_CASE(stream_resumed_by_its_caller_goes_on_at_its_silent_target,
                     data::make(useless_answers), each) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer paused = events(4, last_event);
  paused.silences[0] = 1500ms;
  world.answer("one", paused);
  recording_writer writer;
  world.begin("/stream/x", writer, 4s, 3);
  world.add_target("two");
  world.answer("two", each.script);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(4, last_event));
}

BOOST_AUTO_TEST_CASE(stream_closed_between_events_as_its_target_ends_is_resumed) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", closed_by_target(events(1, 3)));
  world.liveness.ended.insert("one");
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(4, last_event));
  world.clock.run_for(5s);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(1, last_event));
}

BOOST_AUTO_TEST_CASE(stream_that_may_run_once_is_cut_if_closed_as_its_target_ends) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", closed_by_target(events(1, 3)));
  world.liveness.ended.insert("one");
  const auto writer = world.call("/cut/x");
  BOOST_TEST(writer->aborted);
  BOOST_TEST(!writer->finished);
  BOOST_TEST(writer->body == stream_text(1, 3));
}

BOOST_DATA_TEST_CASE(stream_closed_by_a_target_that_runs_on_is_complete,
                     data::make({"/stream/x", "/cut/x"}), path) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", closed_by_target(events(1, last_event)));
  const auto writer = world.call(path);
  BOOST_TEST(writer->finished);
  BOOST_TEST(writer->body == stream_text(1, last_event));
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(body_closed_as_its_target_ends_is_not_passed_on) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer cut = closed_by_target(complete_answer());
  cut.pieces.resize(1);
  world.answer("one", cut);
  world.liveness.ended.insert("one");
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == "whole body");
  BOOST_TEST(world.client.received.size() == 2);
}

BOOST_AUTO_TEST_CASE(body_that_may_be_cut_is_not_asked_for_twice_where_that_is_forbidden) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", closed_by_target(complete_answer()));
  world.liveness.ended.insert("one");
  recording_writer writer;
  world.begin("/once/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 502);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_resumed_at_its_end_is_complete_if_its_last_event_is_repeated) {
  gateway_fixture world;
  world.add_target("one");
  recording_writer writer;
  world.answer("one", without_body(events(1, 0)));
  world.begin("/stream/x", writer, 4s, last_event);
  world.add_target("two");
  world.answer("two", events(last_event, last_event));
  world.clock.run_for(5s);
  BOOST_REQUIRE(world.client.received.size() == 2);
  BOOST_TEST(world.client.received[1].headers.find("After").value_or("") ==
             std::to_string(last_event - 1));
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body.empty());
}

BOOST_AUTO_TEST_CASE(stream_resumed_within_goes_on_after_a_run_that_gave_nothing) {
  gateway_fixture world;
  world.add_target("one");
  recording_writer writer;
  world.answer("one", without_body(events(1, 0)));
  world.begin("/stream/x", writer, 4s, 1);
  world.add_target("two");
  world.answer("two", events(1, last_event));
  world.clock.run_for(5s);
  BOOST_REQUIRE(world.client.received.size() == 2);
  BOOST_TEST(!world.client.received[1].headers.find("After"));
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(2, last_event));
}

BOOST_DATA_TEST_CASE(two_runs_that_give_nothing_do_not_end_a_stream, data::make(useless_answers),
                     each) {
  gateway_fixture world;
  world.add_target("one");
  recording_writer writer;
  world.answer("one", without_body(events(1, 0)));
  world.begin("/stream/x", writer, 4s, last_event);
  world.add_target("two");
  world.answer("two", each.script);
  world.clock.run_for(5s);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(writer.status >= 300);
}
