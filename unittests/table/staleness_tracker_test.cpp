#include "camphorlug/table/staleness_tracker.h"

#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct tracked_copy {
  tracked_copy() { clock.run_for(10s); }

  asio::io_context context;
  support::virtual_clock clock{context};
  table::staleness_tracker tracker{clock};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(staleness_counts_from_the_latest_confirmation, tracked_copy) {
  const auto now = clock.now();
  tracker.confirm(now - 3s);
  tracker.confirm(now - 5s);
  BOOST_TEST((tracker.staleness() == 3s));
  clock.run_for(1s);
  BOOST_TEST((tracker.staleness() == 4s));
}

BOOST_FIXTURE_TEST_CASE(copy_that_nothing_confirmed_is_as_stale_as_its_node_is_old, tracked_copy) {
  table::staleness_tracker other(clock);
  clock.run_for(2s);
  BOOST_TEST((other.staleness() == 2s));
  BOOST_TEST(!other.as_of().has_value());
}

// What a peer has does not count until this node has it too.
BOOST_FIXTURE_TEST_CASE(confirmation_of_a_newer_version_waits_for_that_version, tracked_copy) {
  const auto now = clock.now();
  tracker.confirm_version(7, now - 2s, /*held=*/7);
  tracker.confirm_version(9, now - 1s, /*held=*/7);
  BOOST_TEST((tracker.staleness() == 2s));
  BOOST_TEST(tracker.newest_version() == 9);
  tracker.update_held(8);
  BOOST_TEST((tracker.staleness() == 2s));
  tracker.update_held(9);
  BOOST_TEST((tracker.staleness() == 1s));
}

BOOST_FIXTURE_TEST_CASE(older_confirmation_replaces_no_pending_one, tracked_copy) {
  const auto now = clock.now();
  tracker.confirm_version(9, now - 1s, /*held=*/7);
  tracker.confirm_version(8, now - 4s, /*held=*/7);
  tracker.update_held(9);
  BOOST_TEST((tracker.staleness() == 1s));
}
