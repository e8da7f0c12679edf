#include "camphorlug/support/notification.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

support::task<> note_after(support::clock& clock, std::chrono::seconds delay, char mark,
                           std::string& marks) {
  co_await clock.sleep_for(delay);
  marks += mark;
}

support::task<> wait(support::notification& event, std::chrono::seconds limit, int& result) {
  result = co_await event.wait_for(limit) ? 1 : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(sleepers_wake_in_order_and_on_time) {
  asio::io_context context;
  support::virtual_clock clock(context);
  std::string marks;
  support::spawn(context.get_executor(), "b", note_after(clock, 2s, 'b', marks));
  support::spawn(context.get_executor(), "a", note_after(clock, 1s, 'a', marks));
  support::spawn(context.get_executor(), "c", note_after(clock, 2s, 'c', marks));
  clock.run_for(1s);
  BOOST_TEST(marks == "a");
  clock.run_for(1s);
  BOOST_TEST(marks == "abc");
}

BOOST_AUTO_TEST_CASE(notification_is_kept_for_the_next_wait) {
  asio::io_context context;
  support::virtual_clock clock(context);
  support::notification event(clock);
  int result = -1;
  event.notify();
  support::spawn(context.get_executor(), "wait", wait(event, 5s, result));
  clock.run_for(0s);
  BOOST_TEST(result == 1);
  support::spawn(context.get_executor(), "wait", wait(event, 5s, result));
  clock.run_for(6s);
  BOOST_TEST(result == 0);
}

BOOST_AUTO_TEST_CASE(shut_down_unwinds_sleepers) {
  asio::io_context context;
  support::virtual_clock clock(context);
  std::string marks;
  support::spawn(context.get_executor(), "a", note_after(clock, 1s, 'a', marks));
  clock.run_for(0s);
  clock.shut_down();
  clock.run_for(5s);
  BOOST_TEST(marks == "");
}
