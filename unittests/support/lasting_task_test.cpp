#include "camphorlug/support/json_text.h"
#include "camphorlug/support/shutdown_exception.h"
#include "camphorlug/support/task.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct lasting_world {
  asio::io_context context;
  support::virtual_clock clock{context};
  std::vector<support::clock::time_point> begun;

  /// Ends the tasks that still wait.
  ~lasting_world() { clock.shut_down(); }

  /// Starts a task that fails after `lasts` as often as `failures`, and then lasts for an hour.
  void start(std::size_t failures, std::chrono::milliseconds lasts) {
    support::spawn_lasting(context.get_executor(), clock, "task",
                           [this, failures, lasts] { return work(failures, lasts); });
  }

  support::task<> work(std::size_t failures, std::chrono::milliseconds lasts) {
    begun.push_back(clock.now());
    const bool fails = begun.size() <= failures;
    co_await clock.sleep_for(fails ? lasts : 1h);
    if (fails)
      throw std::runtime_error("failed");
  }
};

} // namespace

// Guards against a duty of a node that ends for good at its first exception.
BOOST_AUTO_TEST_CASE(lasting_task_is_started_again_with_growing_delays) {
  lasting_world world;
  world.start(8, 0ms);
  world.clock.run_for(60s);
  BOOST_REQUIRE(world.begun.size() == 9);
  const std::vector<std::chrono::milliseconds> delays{100ms,  200ms,  400ms,  800ms,
                                                      1600ms, 3200ms, 5000ms, 5000ms};
  for (std::size_t index = 0; index < delays.size(); ++index)
    BOOST_TEST((world.begun[index + 1] - world.begun[index] == delays[index]));
}

BOOST_AUTO_TEST_CASE(delay_is_short_again_after_a_task_has_lasted) {
  lasting_world world;
  world.start(3, 10s);
  world.clock.run_for(60s);
  BOOST_REQUIRE(world.begun.size() == 4);
  for (std::size_t index = 0; index < 3; ++index)
    BOOST_TEST((world.begun[index + 1] - world.begun[index] == 10s + 100ms));
}

BOOST_AUTO_TEST_CASE(lasting_task_that_returns_or_is_shut_down_has_ended) {
  asio::io_context context;
  support::virtual_clock clock(context);
  std::size_t returned = 0;
  std::size_t shut_down = 0;
  support::spawn_lasting(context.get_executor(), clock, "returns", [&]() -> support::task<> {
    ++returned;
    co_return;
  });
  support::spawn_lasting(context.get_executor(), clock, "shut down", [&]() -> support::task<> {
    ++shut_down;
    throw support::shutdown_exception();
    co_return;
  });
  clock.run_for(10s);
  BOOST_TEST(returned == 1);
  BOOST_TEST(shut_down == 1);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_utf_8_are_replaced_in_json) {
  BOOST_TEST(support::to_json_text(nlohmann::json{{"a\xff", "\xc3"}}) ==
             "{\"a\xef\xbf\xbd\":\"\xef\xbf\xbd\"}");
}
