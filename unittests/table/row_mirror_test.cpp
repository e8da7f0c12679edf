#include "camphorlug/table/row_mirror.h"

#include "camphorlug/table/store_version.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace camphorlug;

namespace {

/// A reader that applies the batches of a mirror and holds the live rows by key.
struct follower {
  std::map<std::string, table::feed_row> rows;
  std::uint64_t version = 0;

  void apply(const table::feed_batch& batch) {
    if (batch.history_truncated)
      rows.clear();
    for (const table::feed_row& row : batch.rows) {
      if (row.deleted)
        rows.erase(row.key);
      else
        rows[row.key] = row;
    }
    version = batch.version;
  }
};

table::feed_batch single_row_batch(const std::string& key, std::uint64_t version,
                                   bool deleted = false) {
  return {{{key, "v" + std::to_string(version), version, deleted}}, version, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(follower_of_a_mirror_converges_to_the_table) {
  BOOST_TEST(rc::check("a follower that polls occasionally has the same rows", [] {
    table::row_mirror mirror;
    follower reader;
    std::map<std::string, std::uint64_t> expected;
    for (std::uint64_t version = 1; version < 200; ++version) {
      const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 8));
      const bool deletes = *rc::gen::inRange(0, 3) == 0;
      mirror.apply(single_row_batch(key, version, deletes), false);
      if (deletes)
        expected.erase(key);
      else
        expected[key] = version;
      if (*rc::gen::inRange(0, 10) != 0)
        continue;
      reader.apply(table::batch_from_json(to_json(mirror.changes(reader.version))));
      RC_ASSERT(reader.rows.size() == expected.size());
      for (const auto& [expected_key, newest] : expected)
        RC_ASSERT(reader.rows.at(expected_key).version == newest);
    }
  }));
}

BOOST_AUTO_TEST_CASE(snapshot_deletes_rows_that_it_lacks) {
  table::row_mirror mirror;
  mirror.apply(single_row_batch("a", 1), false);
  mirror.apply(single_row_batch("b", 2), false);
  mirror.apply(single_row_batch("newer", 9), false);
  mirror.apply({{{"a", "v1", 1, false}}, 5, false}, true);
  const auto changes = mirror.changes(2);
  std::map<std::string, bool> deleted;
  for (const auto& row : changes.rows)
    deleted[row.key] = row.deleted;
  BOOST_TEST(deleted.size() == 2);
  BOOST_TEST(deleted.at("b"));
  BOOST_TEST(!deleted.at("newer"));
}

BOOST_AUTO_TEST_CASE(older_rows_change_nothing) {
  table::row_mirror mirror;
  mirror.apply(single_row_batch("a", 5, true), false);
  mirror.apply(single_row_batch("a", 4), false);
  BOOST_TEST(mirror.changes(0).rows.front().deleted);
  BOOST_TEST(mirror.version() == 5);
}

BOOST_AUTO_TEST_CASE(reader_behind_dropped_tombstones_gets_a_snapshot) {
  table::row_mirror mirror;
  mirror.apply(single_row_batch("stays", 1), false);
  std::uint64_t version = 1;
  for (std::size_t i = 0; i < table::row_mirror::max_tombstones + 5; ++i)
    mirror.apply(single_row_batch("k" + std::to_string(i), ++version, true), false);
  const auto stale_reader_batch = mirror.changes(2);
  BOOST_TEST(stale_reader_batch.history_truncated);
  BOOST_TEST(stale_reader_batch.rows.size() == 1);
  BOOST_TEST(stale_reader_batch.rows.front().key == "stays");
  BOOST_TEST(!mirror.changes(version - 3).history_truncated);
  BOOST_TEST(mirror.changes(version - 3).rows.size() == 3);
}

BOOST_AUTO_TEST_CASE(rows_of_an_earlier_era_are_replaced_and_never_return) {
  const auto version = [](std::uint64_t era, std::uint64_t number) {
    return table::make_version(era, number);
  };
  table::row_mirror mirror;
  table::feed_batch before;
  before.version = version(1, 100);
  before.rows = {{"kept", "new", version(1, 90), false}, {"lost", "x", version(1, 100), false}};
  mirror.apply(before, true);
  table::feed_batch after;
  after.version = version(2, 50);
  after.rows = {{"kept", "old", version(2, 40), false}};
  mirror.apply(after, true);
  mirror.apply(before, true);
  const table::feed_batch whole = mirror.snapshot();
  BOOST_TEST(whole.version == version(2, 50));
  BOOST_REQUIRE(whole.rows.size() == 1);
  BOOST_TEST(whole.rows[0].value == "old");
}

// The reader may hold rows that this mirror never saw before they were lost.
BOOST_AUTO_TEST_CASE(reader_from_an_earlier_era_gets_a_snapshot) {
  table::row_mirror mirror;
  table::feed_batch batch;
  batch.version = table::make_version(2, 50);
  batch.rows = {{"a", "x", table::make_version(2, 40), false}};
  mirror.apply(batch, true);
  BOOST_TEST(mirror.changes(table::make_version(1, 60)).history_truncated);
  BOOST_TEST(!mirror.changes(table::make_version(2, 30)).history_truncated);
}
