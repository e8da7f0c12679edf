#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct notice_fixture : gateway_fixture {
  explicit notice_fixture(std::chrono::milliseconds timeout = 4s) : gateway_fixture(timeout) {}

  std::ptrdiff_t received_by(const std::string& target) const {
    return std::count_if(client.received.begin(), client.received.end(),
                         [&](const auto& each) { return each.address == target; });
  }
};

scripted_answer saying_leaving(scripted_answer script) {
  script.headers.add("Leaving", "1");
  return script;
}

scripted_answer foreign_answer() {
  scripted_answer script = complete_answer();
  script.headers = {};
  script.headers.add("Id", "another");
  return script;
}

struct leaving_case {
  const char* description;
  scripted_answer answer;
};

std::ostream& operator<<(std::ostream& out, const leaving_case& each) {
  return out << each.description;
}

const std::vector<leaving_case> leaving_cases = {
    {"success", complete_answer()},
    {"refusal", refusal()},
    {"failure", complete_answer(500)},
    {"answer to another request", foreign_answer()},
};

} // namespace

// A target that says that it leaves keeps serving for a while; its row may follow seconds later or
// never.
BOOST_DATA_TEST_CASE(leaving_target_gets_no_further_request, data::make(leaving_cases), each) {
  notice_fixture world;
  world.add_target("one");
  world.answer("one", saying_leaving(each.answer));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  for (int i = 0; i < 7; ++i) {
    world.answer("one", complete_answer());
    world.answer("two", complete_answer());
  }
  world.clock.run_for(100ms);
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(world.call("/plain/x")->status == 200);
  BOOST_TEST(world.received_by("one") == 1);
}

BOOST_AUTO_TEST_CASE(leaving_target_is_no_last_resort) {
  notice_fixture world;
  world.add_target("one");
  world.answer("one", saying_leaving(complete_answer()));
  world.answer("one", complete_answer());
  BOOST_TEST(world.call("/once/x")->status == 200);
  const auto asked_at = world.clock.now();
  const auto writer = world.call("/once/x");
  BOOST_TEST(writer->status == 503);
  BOOST_TEST((world.clock.now() - asked_at < 50ms));
  BOOST_TEST(world.received_by("one") == 1);
  BOOST_TEST(writer->headers.find("Retry-After-Ms").has_value());
}

BOOST_AUTO_TEST_CASE(stream_of_a_leaving_target_goes_on) {
  notice_fixture world;
  world.add_target("one");
  world.add_target("two");
  for (const char* target : {"one", "two"})
    world.answer(target, saying_leaving(events(1, 30)));
  const auto writer = world.call("/stream/x");
  BOOST_TEST(writer->status == 200);
  BOOST_TEST(world.client.received.size() == 1);
  BOOST_TEST(world.client.aborted_exchanges == 0);
}

BOOST_AUTO_TEST_CASE(waiting_request_is_not_sent_to_a_leaving_target) {
  notice_fixture world;
  world.add_target("one", 1);
  scripted_answer first = saying_leaving(complete_answer());
  first.delay = 50ms;
  first.pause = 1ms;
  world.answer("one", first);
  world.answer("one", complete_answer());
  recording_writer writer;
  recording_writer waiting_writer;
  world.begin("/plain/x", writer);
  world.queue.update_hold_estimate({"shop", ""}, 50ms);
  world.begin("/plain/x", waiting_writer);
  BOOST_TEST(world.queue.waiting() == 1);
  world.clock.run_for(100ms);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(world.received_by("one") == 1);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(100ms);
  BOOST_TEST(waiting_writer.status == 200);
  BOOST_TEST(world.received_by("two") == 1);
}

// Connecting takes up to half a second, during which another response of the target may arrive.
BOOST_AUTO_TEST_CASE(request_is_not_sent_once_its_target_leaves_while_it_connects) {
  notice_fixture world;
  world.add_target("one", 2);
  scripted_answer first = saying_leaving(complete_answer());
  first.delay = 50ms;
  first.pause = 1ms;
  world.answer("one", first);
  scripted_answer connecting = complete_answer();
  connecting.connect_delay = 200ms;
  world.answer("one", connecting);
  recording_writer writer;
  recording_writer connecting_writer;
  world.begin("/once/x", writer);
  world.begin("/once/x", connecting_writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(1s);
  BOOST_TEST(connecting_writer.status == 200);
  BOOST_TEST(world.received_by("one") == 1);
  BOOST_TEST(world.received_by("two") == 1);
  BOOST_TEST(!world.suspicions.suspected("one"));
}

// The response comes from the instance that has the address now.
BOOST_AUTO_TEST_CASE(notice_of_another_instance_does_not_count) {
  notice_fixture world;
  world.add_target("one");
  scripted_answer wrong = saying_leaving(complete_answer(421));
  world.answer("one", wrong);
  world.call("/once/x");
  BOOST_TEST(!world.registry.find("one")->draining);
}

namespace {

scripted_answer pausing_refusal(std::chrono::milliseconds wait,
                                std::chrono::milliseconds delay = 1ms) {
  scripted_answer script = refusal();
  script.headers.add("Pause-Ms", std::to_string(wait.count()));
  script.delay = delay;
  return script;
}

} // namespace

// More than two requests from half a second after the refusal until the end of the pause are too
// many, even if no other target can serve.
BOOST_DATA_TEST_CASE(pausing_target_gets_no_request, data::make({1500, 60000}), pause_ms) {
  notice_fixture world;
  world.add_target("one");
  world.answer("one", pausing_refusal(std::chrono::milliseconds(pause_ms)));
  for (int i = 0; i < 5; ++i)
    world.answer("one", complete_answer());
  const auto asked_at = world.clock.now();
  const auto refused = world.call("/once/x");
  BOOST_TEST(refused->status == 503);
  // The caller is told at once when the pause ends, not after a wait for a slot.
  BOOST_TEST((world.clock.now() - asked_at < 50ms));
  const int told_ms = std::stoi(refused->headers.find("Retry-After-Ms").value_or("0"));
  BOOST_TEST(told_ms <= pause_ms);
  BOOST_TEST(told_ms >= pause_ms - 50);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(world.call("/plain/x")->status == 503);
    world.clock.run_for(100ms);
  }
  BOOST_TEST(world.received_by("one") == 1);
  world.clock.run_for(std::chrono::milliseconds(pause_ms));
  BOOST_TEST(world.call("/plain/x")->status == 200);
}

BOOST_AUTO_TEST_CASE(requests_go_to_targets_that_do_not_pause) {
  notice_fixture world;
  world.add_target("one");
  world.answer("one", pausing_refusal(2s));
  recording_writer writer;
  world.begin("/once/x", writer);
  world.add_target("two");
  for (int i = 0; i < 6; ++i) {
    world.answer("one", complete_answer());
    world.answer("two", complete_answer());
  }
  world.clock.run_for(100ms);
  BOOST_TEST(writer.status == 200);
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(world.call("/plain/x")->status == 200);
  BOOST_TEST(world.received_by("one") == 1);
}

BOOST_AUTO_TEST_CASE(latest_end_of_several_pauses_counts) {
  notice_fixture world;
  world.add_target("one", 3);
  world.answer("one", pausing_refusal(2s, 10ms));
  world.answer("one", pausing_refusal(400ms, 20ms));
  recording_writer first;
  recording_writer second;
  world.begin("/once/x", first);
  world.begin("/once/x", second);
  world.clock.run_for(1s);
  world.answer("one", complete_answer());
  BOOST_TEST(world.call("/once/x")->status == 503);
  BOOST_TEST(world.received_by("one") == 2);
}

BOOST_AUTO_TEST_CASE(request_waits_for_a_pause_that_ends_in_time) {
  notice_fixture world;
  world.add_target("one");
  world.answer("one", pausing_refusal(120ms));
  BOOST_TEST(world.call("/once/x")->status == 503);
  world.answer("one", complete_answer());
  recording_writer writer;
  world.begin("/once/x", writer);
  world.clock.run_for(100ms);
  BOOST_TEST(writer.status == 0);
  world.clock.run_for(50ms);
  // The node assigns free slots several times a second.
  world.queue.assign_free_slots();
  world.clock.run_for(50ms);
  BOOST_TEST(writer.status == 200);
}

// Other nodes would heed a suspicion, but the target has only turned this one away.
BOOST_AUTO_TEST_CASE(pause_is_no_suspicion) {
  notice_fixture world;
  world.add_target("one", 5);
  for (int i = 0; i < 5; ++i)
    world.answer("one", pausing_refusal(200ms, 20ms));
  std::vector<std::unique_ptr<recording_writer>> writers;
  for (int i = 0; i < 5; ++i) {
    writers.push_back(std::make_unique<recording_writer>());
    world.begin("/once/x", *writers.back());
  }
  world.clock.run_for(100ms);
  BOOST_TEST(world.received_by("one") == 5);
  BOOST_TEST(world.suspicions.own().empty());
}

BOOST_AUTO_TEST_CASE(pause_ends_with_a_restart_of_the_target) {
  notice_fixture world;
  world.pauses.pause("one", 100, 10s);
  BOOST_TEST(world.pauses.end("one", 100).has_value());
  BOOST_TEST(!world.pauses.end("one", 200).has_value());
  world.clock.run_for(11s);
  BOOST_TEST(!world.pauses.end("one", 100).has_value());
  world.pauses.expire();
  BOOST_TEST(world.pauses.empty());
}
