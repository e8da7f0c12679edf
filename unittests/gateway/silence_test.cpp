#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Load pattern: sound targets that fall silent for about a second, one after the other, for
// example because their host was paused, while other targets are busy, fail or are silent too.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto silence = 1200ms;

/// Events 1 to 6, with a silence before the fourth.
scripted_answer paused_events() {
  scripted_answer script = events(1, 6);
  script.silences[3] = silence;
  return script;
}

std::string stream_text(int first, int last) {
  std::string text;
  for (const std::string& piece : events(first, last).pieces)
    text += piece;
  return text;
}

/// Runs the gateway and its stall detection for `span`.
void run_with_stall_checks(gateway_fixture& world, std::chrono::milliseconds span) {
  const auto started_at = world.clock.now();
  while (world.clock.now() - started_at < span) {
    world.clock.run_for(50ms);
    for (const std::string& target : world.stalls.check())
      world.suspicions.suspect(target, "it stands still");
  }
}

/// The second target while the first one is silent.
enum class other_target { absent, busy, refuses, resets, ends_within_an_event, silent, slower };

struct silent_stream {
  const char* name;
  other_target other;
  bool retries_left = true;
};

std::ostream& operator<<(std::ostream& out, const silent_stream& each) {
  return out << each.name;
}

const silent_stream silent_streams[] = {
    {"no other target", other_target::absent},
    {"no free slot elsewhere", other_target::busy},
    {"the other target refuses", other_target::refuses},
    {"the other target resets the connection", other_target::resets},
    {"the other target ends within an event", other_target::ends_within_an_event},
    {"the other target is silent too", other_target::silent},
    {"the other target is slower", other_target::slower},
    {"no retry is left", other_target::slower, false},
};

void add_other_target(gateway_fixture& world, other_target kind) {
  scripted_answer script = events(4, 6);
  switch (kind) {
  case other_target::absent:
    return;
  case other_target::busy:
    world.loads.add("two");
    world.add_target("two", 1);
    return;
  case other_target::refuses:
    script = refusal();
    break;
  case other_target::resets:
    script = events(1, 0, answer_ending::reset);
    break;
  case other_target::ends_within_an_event:
    script = events(1, 0);
    script.pieces.push_back("id: 4\nda");
    break;
  case other_target::silent:
    script = events(1, 0, answer_ending::silence);
    break;
  case other_target::slower:
    script.delay = 3s;
    script.pause = 1ms;
    break;
  }
  world.add_target("two");
  world.answer("two", script);
}

} // namespace

BOOST_DATA_TEST_CASE(stream_of_a_silent_target_goes_on_when_nothing_replaces_it,
                     data::make(silent_streams), each) {
  gateway_fixture world;
  if (!each.retries_left)
    world.retries.change_limits({0, 10s, 0});
  world.add_target("one");
  world.answer("one", paused_events());
  recording_writer writer;
  world.begin("/stream/x", writer);
  add_other_target(world, each.other);
  run_with_stall_checks(world, 4s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished);
  BOOST_TEST(!writer.aborted);
  BOOST_TEST(writer.body == stream_text(1, 6));
  BOOST_TEST(world.client.received.size() <= 2);
  BOOST_TEST(world.loads.in_flight("one") == 0);
}

BOOST_AUTO_TEST_CASE(replacement_that_goes_on_first_takes_over_from_a_silent_target) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", paused_events());
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(4, 6));
  const auto started_at = world.clock.now();
  while (!writer.finished && world.clock.now() - started_at < 3s)
    run_with_stall_checks(world, 50ms);
  BOOST_TEST(writer.body == stream_text(1, 6));
  BOOST_TEST(((world.clock.now() - started_at) < gateway::stall_detector::stall_timeout + 150ms));
  world.clock.run_for(50ms);
  BOOST_TEST(world.client.aborted_exchanges == 1);
  BOOST_TEST(world.loads.in_flight("one") == 0);
}

BOOST_AUTO_TEST_CASE(target_that_goes_on_first_is_kept_and_its_replacement_is_closed) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", paused_events());
  recording_writer writer;
  world.begin("/stream/x", writer);
  add_other_target(world, other_target::slower);
  run_with_stall_checks(world, 1500ms);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(1, 6));
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(world.client.aborted_exchanges == 1);
  BOOST_TEST(world.loads.in_flight("two") == 0);
  // Its silence is over, so requests may use it again at once.
  BOOST_TEST(!world.suspicions.suspected("one"));
}

BOOST_AUTO_TEST_CASE(late_first_event_is_delivered_when_the_replacement_fails) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer late = events(1, 3);
  late.delay = 2s;
  late.pause = 1ms;
  world.answer("one", late);
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(1, 0, answer_ending::reset));
  run_with_stall_checks(world, 4s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == stream_text(1, 3));
}

namespace {

struct late_answer {
  const char* name;
  scripted_answer other;
};

std::ostream& operator<<(std::ostream& out, const late_answer& each) {
  return out << each.name;
}

scripted_answer answer_without_pieces(answer_ending end) {
  scripted_answer script = complete_answer();
  script.pieces.clear();
  script.end = end;
  return script;
}

const std::vector<late_answer> late_answers = {
    {"the other target is silent", answer_without_pieces(answer_ending::silence)},
    {"the other target resets the connection", answer_without_pieces(answer_ending::reset)},
    {"the other target refuses", refusal()},
};

} // namespace

BOOST_DATA_TEST_CASE(late_answer_of_an_idempotent_request_is_delivered, data::make(late_answers),
                     each) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer late = complete_answer();
  // Longer than one attempt may take while another one is allowed.
  late.delay = 2500ms;
  late.pause = 1ms;
  world.answer("one", late);
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", each.other);
  run_with_stall_checks(world, 4s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == "whole body");
}

// A stream that has begun is worth more than the wait that its caller tolerates.
BOOST_AUTO_TEST_CASE(broken_stream_waits_for_a_slot_until_its_deadline) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", events(1, 3, answer_ending::reset));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.clock.run_for(1500ms);
  BOOST_TEST(!writer.aborted);
  world.add_target("two");
  world.answer("two", events(4, 6));
  world.clock.run_for(1s);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == stream_text(1, 6));
}
