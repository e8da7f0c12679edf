#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

// Load pattern: callers read large responses slowly or not at all, and targets answer without end,
// beside callers of another organisation that read at once.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t limit = 4 * 1024 * 1024;
constexpr std::size_t piece_bytes = 16 * 1024;

scripted_answer with_pieces(scripted_answer script, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    script.pieces.emplace_back(piece_bytes, 'k');
  script.pause = 1ms;
  return script;
}

scripted_answer large_events(int count) {
  scripted_answer script = events(1, 0);
  for (int id = 1; id <= count; ++id)
    script.pieces.push_back("id: " + std::to_string(id) +
                            "\ndata: " + std::string(piece_bytes, 'x') + "\n\n");
  script.pause = 1ms;
  return script;
}

/// A gateway with callers of two organisations and a limit on its memory.
struct limited_world : gateway_fixture {
  limited_world() : gateway_fixture(20s) {
    auto second = std::make_shared<gateway::routing_config>(*config.current());
    second->version = 2;
    second->keys["key2"] = {"other", std::nullopt, {}};
    config.update_if_newer(second);
    memory.change_limit(limit);
  }

  recording_writer& send(const std::string& path, const char* key, std::size_t body_bytes = 0) {
    writers.push_back(std::make_unique<recording_writer>());
    net::server_request request;
    request.method = "POST";
    request.path = path;
    request.body = std::string(body_bytes, 'b');
    request.headers.add("Host", "example");
    request.headers.add("Id", "r1");
    request.headers.add("Key", key);
    request.headers.add("Patience", "20000");
    support::spawn(context.get_executor(), "call", handle(std::move(request), *writers.back()));
    clock.run_for(0ms);
    return *writers.back();
  }

  support::task<> handle(net::server_request request, recording_writer& writer) {
    co_await gateway.handle(std::move(request), writer);
  }

  /// A response that nobody reads.
  void stop_reading(recording_writer& writer) {
    writer.reading = [this]() -> support::task<> { co_await clock.sleep_for(1h); };
  }

  std::size_t run_and_measure(std::chrono::milliseconds span) {
    std::size_t most = 0;
    for (auto passed = 0ms; passed < span; passed += 5ms) {
      clock.run_for(5ms);
      most = std::max(most, memory.used());
    }
    return most;
  }

  std::vector<std::unique_ptr<recording_writer>> writers;
};

const char* const endless_paths[] = {"/plain/x", "/stream/x"};

} // namespace

BOOST_AUTO_TEST_SUITE(node_memory)

BOOST_DATA_TEST_CASE(responses_to_callers_that_do_not_read_stay_within_the_limit,
                     data::make(endless_paths), path) {
  limited_world world;
  const bool is_stream = std::string(path) == "/stream/x";
  world.add_target("one", 1000);
  // Retries included.
  for (int i = 0; i < 200; ++i)
    world.answer("one", is_stream ? large_events(100) : with_pieces(complete_answer(), 100));
  for (int i = 0; i < 100; ++i)
    world.stop_reading(world.send(path, "key"));
  const std::size_t most = world.run_and_measure(10s);
  BOOST_TEST(most >= limit / 4);
  BOOST_TEST(most <= limit);
}

BOOST_AUTO_TEST_CASE(organisation_with_slow_readers_leaves_room_for_the_others) {
  limited_world world;
  world.add_target("one", 1000);
  for (int i = 0; i < 60; ++i) {
    world.answer("one", with_pieces(complete_answer(), 20));
    world.stop_reading(world.send("/once/x", "key"));
  }
  world.run_and_measure(3s);
  BOOST_TEST(world.memory.used_by("org") >= limit / 3);
  for (int i = 0; i < 20; ++i) {
    world.answer("one", with_pieces(complete_answer(), 1));
    recording_writer& other = world.send("/once/x", "key2");
    world.clock.run_for(100ms);
    BOOST_TEST(other.status == 200);
  }
  BOOST_TEST(world.memory.used() <= limit);
}

BOOST_AUTO_TEST_CASE(large_bodies_beyond_the_limit_are_refused_at_once) {
  limited_world world;
  world.add_target("slow", 100);
  constexpr std::size_t body = 300'000;
  std::set<std::string> waits;
  std::size_t refused = 0;
  for (int i = 0; i < 40; ++i) {
    scripted_answer script = complete_answer();
    script.delay = 5s;
    script.pause = 1ms;
    world.answer("slow", script);
    recording_writer& each = world.send("/once/x", "key", body);
    if (each.status == 0)
      continue;
    ++refused;
    BOOST_TEST(each.status == 503);
    waits.insert(each.headers.find("Retry-After")
                     .value_or(each.headers.find("Retry-After-Ms").value_or("")));
  }
  BOOST_TEST(refused >= 30U);
  BOOST_TEST(world.client.received.size() + refused == 40U);
  BOOST_TEST(world.memory.used() <= limit);
  // Callers return spread out.
  BOOST_TEST(waits.size() > refused / 2);
  BOOST_TEST(!waits.contains(""));
  // What was taken in is answered, and then there is room again.
  world.clock.run_for(6s);
  BOOST_TEST(world.memory.used() == 0U);
  // Those of the refused requests.
  world.client.answers["slow"].clear();
  world.answer("slow", complete_answer());
  recording_writer& later = world.send("/once/x", "key", body);
  world.clock.run_for(100ms);
  BOOST_TEST(later.status == 200);
}

BOOST_AUTO_TEST_CASE(everything_is_free_after_callers_have_gone) {
  limited_world world;
  world.add_target("one", 1000);
  for (int i = 0; i < 60; ++i)
    world.answer("one", large_events(50));
  for (int i = 0; i < 30; ++i)
    world.send("/stream/x", "key");
  world.clock.run_for(50ms);
  for (const auto& each : world.writers)
    each->disconnect();
  world.clock.run_for(25s);
  BOOST_TEST(world.memory.used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
