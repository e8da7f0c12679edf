#include "camphorlug/gateway/evacuation_list.h"

#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_version.h"

#include "fakes/gateway_fixture.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <random>

using namespace camphorlug;
using namespace std::chrono_literals;
using gateway::evacuation_list;
namespace data = boost::unit_test::data;

namespace {

constexpr auto time_limit = 5000ms;

struct list_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
  evacuation_list list{clock, time_limit};
};

/// What is known of `east` in the order of arrival, and what holds in the end.
struct news_case {
  const char* name;
  std::vector<std::pair<std::uint64_t, bool>> news;
  bool is_evacuated;
};

std::ostream& operator<<(std::ostream& out, const news_case& each) {
  return out << each.name;
}

const std::uint64_t next_era = table::make_version(1, 1);

const std::vector<news_case> news = {
    {"a row", {{5, true}}, true},
    {"its deletion", {{5, true}, {6, false}}, false},
    {"an older row", {{6, false}, {5, true}}, false},
    {"an older deletion", {{5, true}, {4, false}}, true},
    {"written again", {{5, true}, {6, false}, {7, true}}, true},
    {"the same row again", {{5, true}, {5, true}}, true},
    {"a deletion in a later era", {{900, true}, {next_era, false}}, false},
    {"a row of an earlier era", {{next_era, false}, {900, true}}, false},
    {"a row in a later era", {{900, false}, {next_era, true}}, true},
};

struct read_case {
  const char* name;
  std::uint64_t row;
  std::uint64_t read;
  bool is_present;
  std::chrono::seconds later;
  bool is_evacuated;
};

std::ostream& operator<<(std::ostream& out, const read_case& each) {
  return out << each.name;
}

const std::vector<read_case> reads = {
    {"present", 5, 8, true, 0s, true},
    {"missing", 5, 8, false, 0s, false},
    {"missing in an older read", 5, 4, false, 60s, true},
    {"missing in a later era", 5, next_era, false, 9s, true},
    {"missing in a later era for long", 5, next_era, false, 10s, false},
    {"missing in an earlier era", next_era, 900, false, 60s, true},
};

/// Two nodes hear random news in random order and then of each other.
bool peers_agree_after_random_news(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  list_fixture world;
  evacuation_list other(world.clock, time_limit);
  // The store gives each version to one state only.
  std::map<std::uint64_t, bool> told;
  for (std::uint64_t count = random() % 12; count > 0; --count) {
    const std::uint64_t version = 1 + random() % 20;
    const bool is_evacuated = told.try_emplace(version, random() % 2 == 0).first->second;
    evacuation_list& hears = random() % 2 == 0 ? other : world.list;
    hears.update("east", version, is_evacuated, 0ms);
  }
  other.merge(world.list.known());
  world.list.merge(other.known());
  const bool expected = !told.empty() && told.rbegin()->second;
  return world.list.known() == other.known() && world.list.is_evacuated("east") == expected;
}

} // namespace

BOOST_DATA_TEST_CASE(only_newer_news_counts, data::make(news), each) {
  for (const bool by_peer : {false, true}) {
    list_fixture world;
    for (const auto& [version, is_evacuated] : each.news) {
      if (by_peer)
        world.list.merge({{"east", {version, is_evacuated, 0ms}}});
      else
        world.list.update("east", version, is_evacuated, 0ms);
    }
    BOOST_TEST(world.list.is_evacuated("east") == each.is_evacuated);
  }
}

BOOST_DATA_TEST_CASE(a_read_ends_what_is_missing, data::make(reads), each) {
  list_fixture world;
  world.list.update("east", each.row, true, 0ms);
  const std::set<std::string> present =
      each.is_present ? std::set<std::string>{"east"} : std::set<std::string>{};
  world.list.retain(present, each.read);
  world.clock.run_for(each.later);
  world.list.retain(present, each.read);
  BOOST_TEST(world.list.is_evacuated("east") == each.is_evacuated);
}

BOOST_AUTO_TEST_CASE(it_closes_within_the_limit_on_all_nodes_at_once) {
  list_fixture first;
  list_fixture second;
  first.list.update("east", 5, true, 0ms);
  first.clock.run_for(900ms);
  second.clock.run_for(900ms);
  second.list.merge(first.list.known());
  const auto closing_delay = time_limit - evacuation_list::closing_margin;
  for (list_fixture* each : {&first, &second}) {
    BOOST_TEST(each->list.is_evacuated("east"));
    const std::uint64_t revision = each->list.revision();
    each->clock.run_for(closing_delay - 901ms);
    BOOST_TEST(!each->list.is_closed("east"));
    BOOST_TEST(each->list.revision() == revision);
    each->clock.run_for(1ms);
    BOOST_TEST(each->list.is_closed("east"));
    BOOST_TEST(each->list.revision() != revision);
    BOOST_TEST(!each->list.is_closed("west"));
  }
}

BOOST_AUTO_TEST_CASE(it_closes_at_once_if_the_time_of_the_announcement_is_unknown) {
  list_fixture world;
  world.list.update("east", 5, true, evacuation_list::unknown_age);
  BOOST_TEST(world.list.is_closed("east"));
  list_fixture other;
  other.list.update("east", 5, true, 0ms);
  other.list.merge(world.list.known());
  BOOST_TEST(other.list.is_closed("east"));
}

BOOST_AUTO_TEST_CASE(without_a_time_limit_it_closes_at_once) {
  list_fixture world;
  world.list.change_time_limit(0ms);
  world.list.update("east", 5, true, 0ms);
  BOOST_TEST(world.list.is_closed("east"));
}

// All nodes that have exchanged what they know agree, in whatever order it came.
BOOST_AUTO_TEST_CASE(peers_agree_after_an_exchange) {
  BOOST_TEST(rc::check("peers agree", [] {
    RC_ASSERT(peers_agree_after_random_news(*rc::gen::arbitrary<std::uint64_t>()));
  }));
}

BOOST_AUTO_TEST_CASE(messages_carry_it_and_those_of_older_builds_do_not) {
  gateway::fleet_message message;
  const std::string older = message.to_json();
  BOOST_TEST(!gateway::fleet_message::from_json(older).evacuations.has_value());
  message.evacuations.emplace();
  BOOST_TEST(gateway::fleet_message::from_json(message.to_json()).evacuations.has_value());
  (*message.evacuations)["east"] = {7, true, 300ms};
  const auto read = gateway::fleet_message::from_json(message.to_json());
  BOOST_REQUIRE(read.evacuations.has_value());
  BOOST_TEST((read.evacuations == message.evacuations));
}

// A request with an assigned slot is not sent, and no choice leads there.
BOOST_AUTO_TEST_CASE(no_request_goes_to_a_closed_data_centre) {
  fakes::gateway_fixture world;
  gateway::target_entry entry;
  for (const char* place : {"east", "west"}) {
    entry.id = entry.address = place;
    entry.service = "shop";
    entry.data_centre = place;
    entry.slots = 8;
    world.registry.update(entry.id, 1, entry);
  }
  const gateway::target_pool pool{"shop", ""};
  const auto chosen = world.chooser.find_usable(pool, "east");
  BOOST_REQUIRE(chosen);
  BOOST_TEST(world.chooser.accepts_requests(*chosen));
  world.evacuations.update("east", 2, true, evacuation_list::unknown_age);
  BOOST_TEST(!world.chooser.accepts_requests(*chosen));
  BOOST_TEST(!world.chooser.find_usable(pool, "east"));
  BOOST_TEST(world.chooser.usable(pool).size() == 1);
  for (int i = 0; i < 8; ++i) {
    const auto other = world.chooser.choose(pool, {});
    BOOST_REQUIRE(other);
    BOOST_TEST(other->id == "west");
  }
  world.evacuations.update("east", 3, false, 0ms);
  BOOST_TEST(world.chooser.find_usable(pool, "east").has_value());
}
