#include "camphorlug/gateway/fleet_summary.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
using gateway::membership_state;
using gateway::target_registry;
namespace data = boost::unit_test::data;

namespace {

constexpr std::int64_t start = 100;
constexpr std::uint64_t epoch = 7;

struct member_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  target_registry registry{clock};
  std::uint64_t version = 0;

  static gateway::target_entry member() {
    gateway::target_entry entry;
    entry.id = "a";
    entry.service = "engines";
    entry.started_at_ms = start;
    entry.membership = gateway::group_membership{"g", epoch, 1, membership_state::ready};
    return entry;
  }

  void write(gateway::target_entry entry) {
    entry.sequence = ++version;
    registry.update("a", version, entry);
  }
  void lapse(const gateway::target_entry& entry = member()) {
    write(entry);
    clock.run_for(3s);
    registry.remove("a", ++version);
  }
  void see(bool is_member = true, std::chrono::milliseconds age = 0ms) {
    registry.apply_sighting("a", {start, epoch, is_member, age});
  }
  /// Whether the group may serve.
  bool is_held() {
    registry.expire();
    return registry.find("a") && registry.all().at("a").is_present();
  }
  bool is_held_after(std::chrono::nanoseconds span) {
    clock.run_for(span);
    return is_held();
  }
};

struct lapse_case {
  const char* name;
  gateway::target_entry entry;
  bool is_held;
};

std::ostream& operator<<(std::ostream& out, const lapse_case& each) {
  return out << each.name;
}

gateway::target_entry changed(void (*change)(gateway::target_entry&)) {
  gateway::target_entry entry = member_fixture::member();
  change(entry);
  return entry;
}

const lapse_case lapse_cases[] = {
    {"a member", member_fixture::member(), true},
    {"a head", changed([](auto& entry) { entry.membership->rank = 0; }), false},
    {"an open head", changed([](auto& entry) {
       entry.membership->rank = 0;
       entry.membership->state = membership_state::open;
     }),
     false},
    {"a draining member", changed([](auto& entry) { entry.draining = true; }), false},
    {"a member that loads",
     changed([](auto& entry) { entry.membership->state = membership_state::joining; }), false},
    {"a broken member",
     changed([](auto& entry) { entry.membership->state = membership_state::broken; }), false},
    {"a target without a group", changed([](auto& entry) { entry.membership.reset(); }), false},
};

/// What happens to a held member, which was seen at once, and whether it is held 2 s later.
struct hold_case {
  const char* name;
  void (*then)(member_fixture& fixture);
  bool is_held;
};

std::ostream& operator<<(std::ostream& out, const hold_case& each) {
  return out << each.name;
}

const hold_case hold_cases[] = {
    {"nothing", [](auto&) {}, true},
    {"it is no longer a member", [](auto& fixture) { fixture.see(false); }, false},
    {"an older answer says that it is no member", [](auto& fixture) { fixture.see(false, 500ms); },
     false},
    {"an answer of another epoch says that it is no member",
     [](auto& fixture) {
       fixture.registry.apply_sighting("a", {start, epoch + 1, false, 0ms});
     },
     true},
    {"an answer of an earlier start says that it is no member",
     [](auto& fixture) {
       fixture.registry.apply_sighting("a", {start - 1, epoch, false, 0ms});
     },
     true},
    {"it says in a response that it leaves",
     [](auto& fixture) { fixture.registry.mark_leaving("a", start); }, true},
    {"its entry is removed again",
     [](auto& fixture) { fixture.registry.remove("a", ++fixture.version); }, true},
    {"a full read lacks its entry",
     [](auto& fixture) { fixture.registry.retain({}, ++fixture.version); }, true},
};

} // namespace

BOOST_DATA_TEST_CASE(only_ready_members_are_held, data::make(lapse_cases), each) {
  member_fixture fixture;
  fixture.lapse(each.entry);
  BOOST_TEST(fixture.registry.held_members().empty() == !each.is_held);
  BOOST_TEST(!fixture.is_held());
  fixture.see();
  BOOST_TEST(fixture.is_held() == each.is_held);
}

BOOST_DATA_TEST_CASE(member_is_held_while_it_is_seen, data::make(hold_cases), each) {
  member_fixture fixture;
  fixture.lapse();
  fixture.see();
  fixture.clock.run_for(100ms);
  each.then(fixture);
  BOOST_TEST(fixture.is_held_after(2s) == each.is_held);
}

BOOST_FIXTURE_TEST_CASE(member_that_is_not_seen_is_dropped, member_fixture) {
  registry.set_group_progress([](const gateway::target_entry&) { return true; });
  lapse();
  BOOST_TEST(is_held_after(target_registry::first_sighting_time - 1ms));
  const auto revision = registry.revision();
  BOOST_TEST(!is_held_after(1ms));
  BOOST_TEST(!registry.find("a"));
  BOOST_TEST(registry.revision() > revision);
}

BOOST_FIXTURE_TEST_CASE(group_that_stands_still_waits_for_the_first_sighting, member_fixture) {
  registry.set_group_progress([](const gateway::target_entry&) { return false; });
  lapse();
  BOOST_TEST(!is_held_after(target_registry::first_sighting_time - 1ms));
  const auto revision = registry.revision();
  see();
  BOOST_TEST(is_held());
  BOOST_TEST(registry.revision() > revision);
}

BOOST_FIXTURE_TEST_CASE(lapse_after_the_return_of_the_entry_needs_a_new_sighting, member_fixture) {
  lapse();
  see();
  write(member());
  clock.run_for(target_registry::sighting_lifetime);
  registry.remove("a", ++version);
  BOOST_TEST(!is_held());
}

BOOST_FIXTURE_TEST_CASE(member_is_dropped_when_it_is_seen_no_longer, member_fixture) {
  lapse();
  see(true, 500ms);
  clock.run_for(1s);
  see(true, 200ms);
  BOOST_TEST(is_held_after(2799ms));
  BOOST_TEST(!is_held_after(1ms));
}

BOOST_FIXTURE_TEST_CASE(sighting_may_arrive_before_the_deletion, member_fixture) {
  write(member());
  see();
  clock.run_for(1s);
  registry.remove("a", ++version);
  BOOST_TEST(is_held_after(1999ms));
  BOOST_TEST(!is_held_after(1ms));
}

BOOST_FIXTURE_TEST_CASE(leaving_member_counts_as_draining, member_fixture) {
  lapse();
  see();
  registry.mark_leaving("a", start);
  BOOST_TEST(registry.find("a")->draining);
}

BOOST_FIXTURE_TEST_CASE(entry_that_returns_ends_the_hold, member_fixture) {
  lapse();
  see();
  write(member());
  BOOST_TEST(registry.held_members().empty());
  BOOST_TEST(!registry.all().at("a").missing_since.has_value());
  BOOST_TEST(is_held_after(10s));
}

BOOST_FIXTURE_TEST_CASE(restarted_member_is_not_held, member_fixture) {
  lapse();
  see();
  gateway::target_entry restarted = member();
  restarted.started_at_ms = start + 1;
  restarted.membership.reset();
  write(restarted);
  BOOST_TEST(registry.held_members().empty());
  BOOST_TEST(!registry.find("a")->membership.has_value());
}

BOOST_AUTO_TEST_CASE(sightings_survive_messages_and_sums) {
  gateway::fleet_summary sent;
  sent.sightings["a"] = {start, epoch, true, 300ms};
  const nlohmann::json text = sent;
  gateway::fleet_summary sum = text.get<gateway::fleet_summary>();
  BOOST_TEST((sum.sightings == sent.sightings));
  BOOST_TEST(sum.unknown.empty());
  gateway::fleet_summary newer;
  newer.sightings["a"] = {start, epoch, false, 100ms};
  sum.add(newer, 100ms);
  BOOST_TEST((sum.sightings.at("a") == gateway::member_sighting{start, epoch, false, 200ms}));
  sum.add(sent, 0ms);
  BOOST_TEST(!sum.sightings.at("a").is_member);
  // Summaries of an earlier build do not have the field.
  nlohmann::json older = text;
  older.erase("seen");
  BOOST_TEST(older.get<gateway::fleet_summary>().sightings.empty());
}
