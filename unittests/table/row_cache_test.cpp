#include "camphorlug/table/row_cache.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using camphorlug::table::row;
using camphorlug::table::row_cache;

BOOST_AUTO_TEST_CASE(older_versions_do_not_replace_newer_rows) {
  row_cache cache;
  BOOST_TEST(cache.update_if_newer({"a", "new", 5}));
  BOOST_TEST(!cache.update_if_newer({"a", "old", 4}));
  BOOST_TEST(!cache.update_if_newer({"a", "same", 5}));
  BOOST_TEST(cache.find("a")->value == "new");
}

BOOST_AUTO_TEST_CASE(fingerprints_are_independent_of_insertion_order) {
  std::vector<row> rows;
  for (int i = 0; i < 100; ++i)
    rows.push_back({"key" + std::to_string(i % 40), std::to_string(i), std::uint64_t(i + 1)});
  row_cache forward;
  for (const row& each : rows)
    forward.update_if_newer(each);
  std::mt19937_64 random(1);
  std::shuffle(rows.begin(), rows.end(), random);
  row_cache shuffled;
  for (const row& each : rows)
    shuffled.update_if_newer(each);
  BOOST_TEST(forward.fingerprint() == shuffled.fingerprint());
  BOOST_TEST(forward.bucket_fingerprints() == shuffled.bucket_fingerprints());
  shuffled.update_if_newer({"key1", "x", 1000});
  BOOST_TEST(forward.fingerprint() != shuffled.fingerprint());
}
