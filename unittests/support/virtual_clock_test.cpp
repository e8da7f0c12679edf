#include "camphorlug/support/notification.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

support::task<> append_after(support::clock& clock, std::chrono::seconds delay, char label,
                             std::string& labels) {
  co_await clock.sleep_for(delay);
  labels += label;
}

support::task<> wait_for_event(support::notification& event, std::chrono::seconds limit,
                               int& result) {
  result = co_await event.wait_for(limit) ? 1 : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(waits_complete_in_order_and_on_time) {
  asio::io_context context;
  support::virtual_clock clock(context);
  std::string labels;
  support::spawn(context.get_executor(), "b", append_after(clock, 2s, 'b', labels));
  support::spawn(context.get_executor(), "a", append_after(clock, 1s, 'a', labels));
  support::spawn(context.get_executor(), "c", append_after(clock, 2s, 'c', labels));
  clock.run_for(1s);
  BOOST_TEST(labels == "a");
  clock.run_for(1s);
  BOOST_TEST(labels == "abc");
}

BOOST_AUTO_TEST_CASE(notification_without_waiter_completes_next_wait) {
  asio::io_context context;
  support::virtual_clock clock(context);
  support::notification event(clock);
  int result = -1;
  event.notify();
  support::spawn(context.get_executor(), "wait", wait_for_event(event, 5s, result));
  clock.run_for(0s);
  BOOST_TEST(result == 1);
  support::spawn(context.get_executor(), "wait", wait_for_event(event, 5s, result));
  clock.run_for(6s);
  BOOST_TEST(result == 0);
}

BOOST_AUTO_TEST_CASE(shut_down_unwinds_waiting_coroutines) {
  asio::io_context context;
  support::virtual_clock clock(context);
  std::string labels;
  support::spawn(context.get_executor(), "a", append_after(clock, 1s, 'a', labels));
  clock.run_for(0s);
  clock.shut_down();
  clock.run_for(5s);
  BOOST_TEST(labels == "");
}
