#include "camphorlug/gateway/target_registry.h"

#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_version.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct registry_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::target_registry registry{clock};

  void update(const std::string& id, std::uint64_t version, bool draining = false) {
    gateway::target_entry entry;
    entry.id = id;
    entry.service = "service";
    entry.draining = draining;
    registry.update(id, version, entry);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(older_rows_are_ignored, registry_fixture) {
  update("a", 5, true);
  update("a", 4, false);
  BOOST_TEST(registry.find("a")->draining);
  registry.remove("a", 4);
  BOOST_TEST(registry.find("a"));
  registry.remove("a", 6);
  BOOST_TEST(!registry.find("a"));
  update("a", 5);
  BOOST_TEST(!registry.find("a"));
  update("a", 7);
  BOOST_TEST(registry.find("a"));
}

BOOST_FIXTURE_TEST_CASE(leaving_target_counts_as_draining_until_it_restarts, registry_fixture) {
  const auto update_started = [&](std::uint64_t version, std::int64_t start) {
    gateway::target_entry entry;
    entry.id = "a";
    entry.service = "service";
    entry.started_at_ms = start;
    registry.update("a", version, entry);
  };
  update_started(1, 100);
  int changes = 0;
  registry.add_listener([&] { ++changes; });
  // A late response of an earlier start says nothing about this one.
  BOOST_TEST(registry.mark_leaving("a", 90));
  BOOST_TEST(!registry.find("a")->draining);
  BOOST_TEST(registry.mark_leaving("a", 100));
  BOOST_TEST(!registry.mark_leaving("a", 100));
  BOOST_TEST(registry.find("a")->draining);
  BOOST_TEST(changes == 1);
  // The row still says `ready`; it may also be removed and restored from an older copy.
  update_started(2, 100);
  BOOST_TEST(registry.find("a")->draining);
  registry.remove("a", 3);
  update_started(4, 100);
  BOOST_TEST(registry.find("a")->draining);
  update_started(5, 200);
  BOOST_TEST(!registry.find("a")->draining);
}

BOOST_FIXTURE_TEST_CASE(leaving_is_known_before_the_row, registry_fixture) {
  registry.mark_leaving("a", 0);
  update("a", 1);
  BOOST_TEST(registry.find("a")->draining);
}

BOOST_FIXTURE_TEST_CASE(unusable_row_drops_only_its_target, registry_fixture) {
  update("a", 1);
  update("b", 2);
  registry.update("a", 3, std::nullopt);
  BOOST_TEST(!registry.find("a"));
  BOOST_TEST(registry.find("b"));
}

BOOST_FIXTURE_TEST_CASE(resident_model_survives_leaving_the_group_but_not_a_restart,
                        registry_fixture) {
  const auto update_model = [&](std::uint64_t version, const char* model, std::int64_t start) {
    gateway::target_entry entry;
    entry.id = "a";
    entry.model = model;
    entry.started_at_ms = start;
    registry.update("a", version, entry);
    return registry.all().at("a").resident_model;
  };
  BOOST_TEST(update_model(1, "m", 5) == "m");
  BOOST_TEST(update_model(2, "", 5) == "m");
  BOOST_TEST(update_model(3, "n", 5) == "n");
  BOOST_TEST(update_model(4, "", 6) == "");
}

BOOST_FIXTURE_TEST_CASE(full_read_removes_absent_targets, registry_fixture) {
  update("a", 1);
  update("b", 2);
  update("newer", 9);
  registry.retain({"a"}, 5);
  BOOST_TEST(registry.find("a"));
  BOOST_TEST(!registry.find("b"));
  // Its row was written after the read began.
  BOOST_TEST(registry.find("newer"));
}

BOOST_FIXTURE_TEST_CASE(missing_entries_are_kept_for_a_grace_period_after_an_outage,
                        registry_fixture) {
  update("back", 1);
  update("gone", 2);
  update("leaving", 3, true);
  registry.mark_store_recovered();
  registry.retain({}, 5);
  BOOST_TEST(registry.find("back"));
  BOOST_TEST(registry.find("gone"));
  // A draining target gets no grace period, since it is expected to disappear.
  BOOST_TEST(!registry.find("leaving"));
  clock.run_for(1s);
  update("back", 6);
  registry.expire();
  BOOST_TEST(registry.find("gone"));
  clock.run_for(1s);
  registry.expire();
  BOOST_TEST(registry.find("back"));
  BOOST_TEST(!registry.find("gone"));
}

BOOST_FIXTURE_TEST_CASE(unchanged_rewrite_keeps_the_revision, registry_fixture) {
  update("a", 1);
  const auto revision = registry.revision();
  clock.run_for(5s);
  update("a", 2);
  BOOST_TEST(registry.revision() == revision);
  BOOST_TEST(registry.all().at("a").version == 2);
  BOOST_TEST((registry.all().at("a").read_at == clock.now()));
  // A deletion older than the rewrite is ignored.
  registry.remove("a", 1);
  BOOST_TEST(registry.find("a"));
  update("a", 3, true);
  BOOST_TEST(registry.revision() > revision);
}

BOOST_FIXTURE_TEST_CASE(listeners_are_notified_when_an_entry_is_missing, registry_fixture) {
  int changes = 0;
  update("a", 1);
  registry.add_listener([&] { ++changes; });
  registry.mark_store_recovered();
  registry.remove("a", 5);
  BOOST_TEST(changes == 1);
  update("a", 6);
  BOOST_TEST(changes == 2);
  BOOST_TEST(!registry.all().at("a").missing_since.has_value());
}

namespace {

struct restored_row {
  const char* what;
  std::uint64_t sequence;
  bool draining;
  bool expected_draining;
};

std::ostream& operator<<(std::ostream& out, const restored_row& each) {
  return out << each.what;
}

const restored_row restored_rows[] = {
    {"older state of the target", 4, false, true},
    {"the state that was held", 5, true, true},
    {"state written since", 6, false, false},
};

gateway::target_entry written_entry(std::uint64_t sequence, bool draining) {
  gateway::target_entry entry;
  entry.id = "a";
  entry.sequence = sequence;
  entry.draining = draining;
  return entry;
}

} // namespace

BOOST_DATA_TEST_CASE(older_copy_does_not_undo_what_a_target_reported,
                     boost::unit_test::data::make(restored_rows), each) {
  registry_fixture world;
  world.registry.update("a", table::make_version(1, 100), written_entry(5, true));
  const std::uint64_t restored = table::make_version(2, 40);
  world.registry.update("a", restored, written_entry(each.sequence, each.draining));
  BOOST_TEST(world.registry.find("a")->draining == each.expected_draining);
  BOOST_TEST(world.registry.all().at("a").version == restored);
  world.registry.update("a", table::make_version(2, 41), written_entry(7, false));
  BOOST_TEST(!world.registry.find("a")->draining);
}

namespace {

gateway::target_entry started_entry(std::int64_t started_at_ms, std::uint64_t sequence) {
  gateway::target_entry entry = written_entry(sequence, false);
  entry.started_at_ms = started_at_ms;
  return entry;
}

/// Whether the target's entry is removed before the store is restored.
const bool removed_before[] = {false, true};

} // namespace

// Load pattern: targets crash and start again, and then the store comes back from a copy that was
// taken before.
BOOST_DATA_TEST_CASE(older_copy_does_not_bring_back_an_earlier_start,
                     boost::unit_test::data::make(removed_before), is_removed) {
  registry_fixture world;
  world.registry.update("a", table::make_version(1, 90), started_entry(1000, 60));
  world.registry.update("a", table::make_version(1, 100), started_entry(2000, 3));
  if (is_removed)
    world.registry.remove("a", table::make_version(1, 101));
  world.registry.update("a", table::make_version(2, 40), started_entry(1000, 58));
  const gateway::target_entry* held = world.registry.find("a");
  BOOST_TEST((held == nullptr) == is_removed);
  BOOST_TEST((is_removed || held->started_at_ms == 2000));
  world.registry.update("a", table::make_version(2, 41), started_entry(2000, 4));
  BOOST_REQUIRE(world.registry.find("a"));
  BOOST_TEST(world.registry.find("a")->started_at_ms == 2000);
}

BOOST_FIXTURE_TEST_CASE(entry_without_a_start_names_no_target_that_has_named_one,
                        registry_fixture) {
  registry.update("a", 10, started_entry(0, 1));
  BOOST_TEST(registry.find("a"));
  registry.update("a", 11, started_entry(2000, 2));
  BOOST_REQUIRE(registry.find("a"));
  // Read twice, as by the feed and by a later read of the whole table.
  for (int i = 0; i < 2; ++i) {
    registry.update("a", 12, started_entry(0, 3));
    BOOST_TEST(!registry.find("a"));
  }
  registry.update("a", 13, started_entry(2000, 4));
  BOOST_TEST(registry.find("a")->started_at_ms == 2000);
}

BOOST_FIXTURE_TEST_CASE(removed_target_returns_only_after_it_has_written_again, registry_fixture) {
  registry.update("a", table::make_version(1, 100), written_entry(5, false));
  registry.remove("a", table::make_version(1, 101));
  registry.update("a", table::make_version(2, 40), written_entry(4, false));
  BOOST_TEST(!registry.find("a"));
  registry.update("a", table::make_version(2, 41), written_entry(6, false));
  BOOST_TEST(registry.find("a"));
}
