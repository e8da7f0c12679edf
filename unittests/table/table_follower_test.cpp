#include "camphorlug/table/table_follower.h"

#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_error.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

/// One table whose feed may fail in each way that the real one may.
class scripted_feed final : public table::change_feed {
public:
  explicit scripted_feed(support::clock& time) : time_(time) {}

  support::task<table::feed_batch> read_all(std::string) override {
    ++reads;
    co_await time_.sleep_for(1ms);
    if (down)
      throw table::store_error("down", false);
    table::feed_batch batch;
    batch.version = stale ? 1 : version;
    if (!stale) {
      for (const auto& [key, row] : rows) {
        if (!row.deleted)
          batch.rows.push_back(row);
      }
    }
    co_return batch;
  }

  support::task<table::feed_batch> changes(std::string, std::uint64_t since,
                                           std::chrono::milliseconds wait) override {
    const auto until = time_.now() + wait;
    for (;;) {
      co_await time_.sleep_for(10ms);
      if (down)
        throw table::store_error("down", false);
      table::feed_batch batch;
      batch.version = version;
      batch.history_truncated = since < oldest;
      for (const auto& [key, row] : rows) {
        if (row.version > since && !suppress_changes)
          batch.rows.push_back(row);
      }
      if (batch.history_truncated || !batch.rows.empty() || time_.now() >= until) {
        if (suppress_changes)
          batch.version = since;
        co_return batch;
      }
    }
  }

  void put(const std::string& key, bool deleted = false) {
    rows[key] = {key, "value", ++version, deleted};
  }

  std::map<std::string, table::feed_row> rows;
  std::uint64_t version = 10;
  std::uint64_t oldest = 0;
  std::size_t reads = 0;
  bool down = false;
  bool stale = false;
  /// The feed hears of no change.
  bool suppress_changes = false;

private:
  support::clock& time_;
};

struct follower_fixture {
  follower_fixture() {
    support::spawn(context.get_executor(), "follow", follower.follow());
    support::spawn(context.get_executor(), "reread", follower.reread());
  }
  ~follower_fixture() { clock.shut_down(); }

  void apply(const table::feed_batch& batch, bool whole) {
    if (whole)
      seen.clear();
    for (const table::feed_row& row : batch.rows) {
      if (row.deleted)
        seen.erase(row.key);
      else
        seen[row.key] = row.version;
    }
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random{1};
  scripted_feed feed{clock};
  std::map<std::string, std::uint64_t> seen;
  table::table_follower follower{
      clock,   random, feed,
      "table", 2s,     [this](const table::feed_batch& batch, bool whole) { apply(batch, whole); }};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(changes_are_applied_within_200_ms, follower_fixture) {
  clock.run_for(100ms);
  feed.put("a");
  clock.run_for(200ms);
  BOOST_TEST(seen.contains("a"));
  feed.put("a", true);
  clock.run_for(200ms);
  BOOST_TEST(!seen.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(truncated_history_triggers_a_snapshot, follower_fixture) {
  clock.run_for(100ms);
  feed.suppress_changes = true;
  feed.put("a");
  feed.put("b");
  feed.oldest = feed.version + 1;
  feed.suppress_changes = false;
  clock.run_for(500ms);
  BOOST_TEST(seen.contains("a"));
  BOOST_TEST(seen.contains("b"));
}

BOOST_FIXTURE_TEST_CASE(periodic_snapshot_recovers_changes_missed_by_the_feed, follower_fixture) {
  clock.run_for(100ms);
  feed.suppress_changes = true;
  feed.put("a");
  clock.run_for(3s);
  BOOST_TEST(seen.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(stale_snapshot_is_ignored, follower_fixture) {
  feed.put("a");
  clock.run_for(100ms);
  BOOST_TEST(seen.contains("a"));
  feed.stale = true;
  clock.run_for(5s);
  BOOST_TEST(seen.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(outage_is_detected_and_recovery_is_reported, follower_fixture) {
  int regained = 0;
  follower.on_reconnected([&] { ++regained; });
  clock.run_for(100ms);
  BOOST_TEST(follower.is_store_reachable());
  feed.down = true;
  clock.run_for(5s);
  BOOST_TEST(!follower.is_store_reachable());
  feed.put("a");
  feed.down = false;
  clock.run_for(2s);
  BOOST_TEST(seen.contains("a"));
  BOOST_TEST(regained == 1);
}
