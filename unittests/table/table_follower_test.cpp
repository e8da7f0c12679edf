#include "camphorlug/table/table_follower.h"

#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

/// A feed of one table that can fail in each way that the real one may: outage, stale
/// snapshots, truncated history and changes that are never reported.
class fault_injecting_feed final : public table::change_feed {
public:
  explicit fault_injecting_feed(support::clock& time) : time_(time) {}

  support::task<table::feed_batch> read_all(std::string) override {
    ++reads;
    co_await time_.sleep_for(1ms);
    if (is_down)
      throw table::store_error("down", false);
    table::feed_batch batch;
    const std::uint64_t answer_era = era;
    batch.version = table::make_version(answer_era, serve_stale_snapshot ? 1 : version);
    if (!serve_stale_snapshot) {
      for (const auto& [key, row] : rows) {
        if (!row.deleted)
          batch.rows.push_back({row.key, row.value, table::make_version(answer_era, row.version)});
      }
    }
    co_await time_.sleep_for(answer_delay);
    co_return batch;
  }

  support::task<table::feed_batch> read_all_within(std::string name,
                                                   std::chrono::milliseconds) override {
    return read_all(std::move(name));
  }

  support::task<table::feed_batch> changes(std::string, std::uint64_t since,
                                           std::chrono::milliseconds wait) override {
    const auto until = time_.now() + wait;
    for (;;) {
      co_await time_.sleep_for(10ms);
      if (is_down)
        throw table::store_error("down", false);
      table::feed_batch batch;
      batch.version = table::make_version(era, version);
      batch.history_truncated =
          table::era_of(since) != era || table::number_of(since) < oldest_kept_version;
      for (const auto& [key, row] : rows) {
        if (row.version > table::number_of(since) && !suppress_changes)
          batch.rows.push_back(
              {row.key, row.value, table::make_version(era, row.version), row.deleted});
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

  /// Restores the empty table, of which later versions are given out again.
  void restore_empty() {
    rows.clear();
    version = 10;
    ++era;
  }

  std::map<std::string, table::feed_row> rows;
  std::uint64_t version = 10;
  std::uint64_t era = 0;
  std::chrono::milliseconds answer_delay{0};
  std::uint64_t oldest_kept_version = 0;
  std::size_t reads = 0;
  bool is_down = false;
  bool serve_stale_snapshot = false;
  /// The feed succeeds but reports no changes.
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

  void apply(const table::feed_batch& batch, bool is_snapshot) {
    if (is_snapshot)
      applied_versions.clear();
    for (const table::feed_row& row : batch.rows) {
      counted_as_new[row.key] = !is_snapshot && follower.follows_directly();
      if (row.deleted)
        applied_versions.erase(row.key);
      else
        applied_versions[row.key] = row.version;
    }
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random{1};
  fault_injecting_feed feed{clock};
  std::map<std::string, std::uint64_t> applied_versions;
  /// Whether each row was known to be new when it came.
  std::map<std::string, bool> counted_as_new;
  table::table_follower follower{
      clock,   random, feed,
      "table", 2s,     [this](const table::feed_batch& batch, bool full) { apply(batch, full); }};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(changes_are_applied_within_200_ms, follower_fixture) {
  clock.run_for(100ms);
  feed.put("a");
  clock.run_for(200ms);
  BOOST_TEST(applied_versions.contains("a"));
  feed.put("a", true);
  clock.run_for(200ms);
  BOOST_TEST(!applied_versions.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(truncated_history_triggers_a_snapshot, follower_fixture) {
  clock.run_for(100ms);
  feed.suppress_changes = true;
  feed.put("a");
  feed.put("b");
  feed.oldest_kept_version = feed.version + 1;
  feed.suppress_changes = false;
  clock.run_for(500ms);
  BOOST_TEST(applied_versions.contains("a"));
  BOOST_TEST(applied_versions.contains("b"));
}

BOOST_FIXTURE_TEST_CASE(periodic_snapshot_recovers_changes_missed_by_the_feed, follower_fixture) {
  clock.run_for(100ms);
  feed.suppress_changes = true;
  feed.put("a");
  clock.run_for(3s);
  BOOST_TEST(applied_versions.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(stale_snapshot_is_ignored, follower_fixture) {
  feed.put("a");
  clock.run_for(100ms);
  BOOST_TEST(applied_versions.contains("a"));
  feed.serve_stale_snapshot = true;
  clock.run_for(5s);
  BOOST_TEST(applied_versions.contains("a"));
}

BOOST_FIXTURE_TEST_CASE(outage_is_detected_and_recovery_is_reported, follower_fixture) {
  int regained = 0;
  follower.on_reconnected([&] { ++regained; });
  clock.run_for(100ms);
  BOOST_TEST(follower.is_store_reachable());
  feed.is_down = true;
  clock.run_for(5s);
  BOOST_TEST(!follower.is_store_reachable());
  feed.put("a");
  feed.is_down = false;
  clock.run_for(2s);
  BOOST_TEST(applied_versions.contains("a"));
  BOOST_TEST(regained == 1);
}

BOOST_FIXTURE_TEST_CASE(table_is_read_again_when_the_store_returns_from_an_older_copy,
                        follower_fixture) {
  bool returned = false;
  follower.on_new_era([&] { returned = true; });
  for (const char* key : {"a", "b", "c"})
    feed.put(key);
  clock.run_for(300ms);
  BOOST_TEST(applied_versions.size() == 3);
  feed.restore_empty();
  // The same version numbers as before, for another row.
  feed.put("d");
  feed.put("d");
  clock.run_for(300ms);
  BOOST_TEST(applied_versions.size() == 1);
  BOOST_TEST(applied_versions.contains("d"));
  BOOST_TEST(returned);
  feed.put("e");
  clock.run_for(300ms);
  BOOST_TEST(applied_versions.contains("e"));
}

BOOST_FIXTURE_TEST_CASE(late_answer_of_an_earlier_era_is_ignored, follower_fixture) {
  clock.run_for(300ms);
  feed.put("a");
  clock.run_for(300ms);
  feed.answer_delay = 2s;
  support::spawn(context.get_executor(), "late", follower.refresh());
  clock.run_for(10ms);
  feed.answer_delay = 0ms;
  feed.restore_empty();
  clock.run_for(3s);
  BOOST_TEST(!applied_versions.contains("a"));
}

namespace {

struct disturbance {
  const char* name;
  /// Happens while the row is written, of which the feed says nothing before it is over.
  void (*begin)(fault_injecting_feed&);
  void (*end)(fault_injecting_feed&);
};

std::ostream& operator<<(std::ostream& out, const disturbance& each) {
  return out << each.name;
}

const std::vector<disturbance> disturbances = {
    {"a failure", [](fault_injecting_feed& feed) { feed.is_down = true; },
     [](fault_injecting_feed& feed) { feed.is_down = false; }},
    {"history lost",
     [](fault_injecting_feed& feed) { feed.oldest_kept_version = feed.version + 1; },
     [](fault_injecting_feed& feed) { feed.oldest_kept_version = 0; }},
};

} // namespace

// The first answers after a failure or a gap may be those of some seconds ago, so that what comes
// directly after them may still be old.
BOOST_DATA_TEST_CASE_F(follower_fixture, change_after_a_disturbance_is_not_known_to_be_new,
                       boost::unit_test::data::make(disturbances), each) {
  clock.run_for(10s);
  feed.put("before");
  clock.run_for(1s);
  BOOST_TEST(counted_as_new["before"]);
  each.begin(feed);
  clock.run_for(1s);
  feed.serve_stale_snapshot = true;
  feed.suppress_changes = true;
  feed.put("late");
  each.end(feed);
  clock.run_for(2s);
  feed.suppress_changes = false;
  clock.run_for(1s);
  BOOST_REQUIRE(applied_versions.contains("late"));
  BOOST_TEST(!counted_as_new["late"]);
  clock.run_for(10s);
  feed.put("after");
  clock.run_for(1s);
  BOOST_TEST(counted_as_new["after"]);
}

// An answer without a row shows that the store held none until it answered; one with rows tells
// only of the moment of the call.
BOOST_FIXTURE_TEST_CASE(answers_tell_since_when_the_table_is_complete, follower_fixture) {
  follower.set_poll_time(500ms);
  clock.run_for(3s);
  BOOST_TEST((clock.now() - follower.complete_as_of().value() <= 520ms));
  feed.is_down = true;
  const auto lost_at = clock.now();
  clock.run_for(3s);
  BOOST_TEST((follower.complete_as_of().value() <= lost_at));
  BOOST_TEST((follower.failed_at().value() > lost_at));
  feed.is_down = false;
  clock.run_for(2s);
  BOOST_TEST((clock.now() - follower.complete_as_of().value() <= 520ms));
}
