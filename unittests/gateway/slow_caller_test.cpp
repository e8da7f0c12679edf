#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

// Load pattern: callers on slow links read large responses for seconds after their targets have
// sent them, beside callers that read at once.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto reading_time = 1s;
constexpr int event_count = 6;

/// Events of the given size, sent without a pause.
scripted_answer large_events(std::size_t event_bytes) {
  scripted_answer script = events(1, 0);
  for (int id = 1; id <= event_count; ++id)
    script.pieces.push_back("id: " + std::to_string(id) +
                            "\ndata: " + std::string(event_bytes, 'x') + "\n\n");
  return script;
}

void make_slow(recording_writer& writer, gateway_fixture& world) {
  writer.reading = [&world]() -> support::task<> { co_await world.clock.sleep_for(reading_time); };
}

} // namespace

BOOST_DATA_TEST_CASE(slow_caller_does_not_make_its_target_suspected,
                     data::make({1'000, 40'000, 70'000, 200'000}), event_bytes) {
  gateway_fixture world(20s);
  world.add_target("one");
  world.answer("one", large_events(event_bytes));
  recording_writer writer;
  make_slow(writer, world);
  world.begin("/stream/x", writer, 20s);
  world.add_target("two");
  world.answer("two", events(2, event_count));
  const auto started_at = world.clock.now();
  bool suspected = false;
  std::size_t stalls = 0;
  while (world.unfinished > 0 && world.clock.now() - started_at < 15s) {
    world.clock.run_for(50ms);
    for (const std::string& target : world.stalls.check()) {
      world.suspicions.suspect(target, "it stands still");
      ++stalls;
    }
    suspected = suspected || world.suspicions.suspected("one");
  }
  BOOST_TEST(stalls == 0);
  BOOST_TEST(!suspected);
  BOOST_TEST(writer.finished);
  BOOST_TEST(world.client.received.size() == 1);
}

BOOST_DATA_TEST_CASE(slow_caller_does_not_lengthen_the_estimated_hold_time,
                     data::make({"/plain/x", "/stream/x"}), path) {
  gateway_fixture world(20s);
  world.add_target("one");
  world.answer("one", path == std::string("/plain/x") ? complete_answer() : large_events(100));
  recording_writer writer;
  make_slow(writer, world);
  world.begin(path, writer, 20s);
  world.clock.run_for(10s);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(writer.finished);
  const auto held = world.queue.mean_hold({"shop", ""});
  BOOST_REQUIRE(held.has_value());
  BOOST_TEST((*held < 100ms));
}

BOOST_DATA_TEST_CASE(exchange_is_closed_when_writing_to_the_caller_fails, data::make({1, 3}),
                     failing_piece) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer script = events(1, event_count);
  script.silences[4] = 2s;
  world.answer("one", script);
  recording_writer writer;
  int pieces = 0;
  writer.reading = [&pieces, failing_piece]() -> support::task<> {
    if (++pieces == failing_piece)
      throw std::runtime_error("the connection has no buffer left");
    co_return;
  };
  world.begin("/stream/x", writer);
  world.clock.run_for(100ms);
  BOOST_TEST(pieces == failing_piece);
  BOOST_TEST(world.client.aborted_exchanges == 1);
  BOOST_TEST(world.loads.in_flight("one") == 0);
}
