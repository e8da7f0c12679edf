#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <utility>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Far more than any event or body that a target sends by intention.
constexpr std::size_t pieces_without_end = 400;
constexpr std::size_t piece_size = 160'000;

/// An answer that goes on with the same bytes until its connection is closed.
scripted_answer with_endless_tail(scripted_answer script) {
  for (std::size_t i = 0; i < pieces_without_end; ++i)
    script.pieces.emplace_back(piece_size, 'k');
  script.end = answer_ending::silence;
  script.pause = 1ms;
  return script;
}

/// Checks that a request whose first target gives `broken` gets the answer of a second one.
void check_replaced(scripted_answer broken) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", std::move(broken));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(500ms);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == "whole body");
}

} // namespace

BOOST_AUTO_TEST_CASE(stream_whose_event_never_ends_resumes_at_another_target) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", with_endless_tail(events(1, 3)));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.answer("two", events(4, 6));
  world.clock.run_for(500ms);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.last_id() == "6");
}

// The caller has a part of the stream already, so that only a broken connection tells it that the
// rest is missing.
BOOST_AUTO_TEST_CASE(stream_whose_event_never_ends_at_any_target_is_broken_off) {
  gateway_fixture world;
  recording_writer writer;
  for (const char* id : {"one", "two", "three"}) {
    world.add_target(id);
    world.answer(id, with_endless_tail(events(1, 1)));
  }
  world.begin("/stream/x", writer);
  world.clock.run_for(4s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.last_id() == "1");
  BOOST_TEST(writer.aborted);
  BOOST_TEST(!writer.finished);
}

BOOST_AUTO_TEST_CASE(body_that_never_ends_is_replaced_by_that_of_another_target) {
  check_replaced(with_endless_tail(complete_answer()));
}

// A target that fails each request at once always has free slots. It must not attract the requests
// for which the other targets have none.
BOOST_AUTO_TEST_CASE(requests_wait_for_a_sound_target_beside_one_that_fails_at_once) {
  gateway_fixture world;
  world.add_target("broken");
  world.add_target("sound", 1);
  scripted_answer garbage = complete_answer();
  garbage.headers = {};
  scripted_answer slow = complete_answer();
  slow.delay = 60ms;
  for (int i = 0; i < 500; ++i) {
    world.answer("broken", garbage);
    world.answer("sound", slow);
  }
  world.suspicions.suspect("broken", "test");
  std::vector<std::unique_ptr<recording_writer>> writers;
  for (int i = 0; i < 8; ++i) {
    writers.push_back(std::make_unique<recording_writer>());
    world.begin("/plain/x", *writers.back());
    world.clock.run_for(55ms);
  }
  const auto reached = std::count_if(world.client.received.begin(), world.client.received.end(),
                                     [](const auto& each) { return each.address == "broken"; });
  BOOST_TEST(reached == 0);
}

namespace {

/// A response of which only the first `pieces` can be read.
scripted_answer unreadable_after(std::size_t pieces) {
  scripted_answer script = complete_answer();
  script.pieces.resize(pieces);
  script.end = answer_ending::unreadable;
  return script;
}

} // namespace

BOOST_DATA_TEST_CASE(unreadable_response_is_replaced_by_that_of_another_target,
                     data::make({std::size_t{0}, std::size_t{1}}), pieces) {
  check_replaced(unreadable_after(pieces));
}

// A target that sends bytes without end has neither crashed nor become unreachable: its requests
// must not be banned, and the node must not send all requests through its peers.
BOOST_DATA_TEST_CASE(unreadable_response_is_no_crash_and_no_lost_path,
                     data::make({std::size_t{0}, std::size_t{1}}), pieces) {
  gateway_fixture world;
  for (const char* id : {"one", "two", "three"}) {
    world.add_target(id);
    world.answer(id, unreadable_after(pieces));
    world.answer(id, unreadable_after(pieces));
  }
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(world.call("/plain/x")->status == 502);
  std::set<std::string> reached;
  for (const net::client_request& each : world.client.received)
    reached.insert(each.address);
  BOOST_TEST(reached.size() == 3);
  BOOST_TEST(world.crash_causes.take_unconfirmed().empty());
  BOOST_TEST(!world.paths.has_lost("shop"));
}
