#include "camphorlug/edge/departure_checker.h"

#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <utility>

// Guards against LOST: whole responses without a length or chunks are reset when their target has
// stopped listening, and against ORDER: responses that a dying target has cut off are passed on as
// complete.

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::int64_t start = 7;
constexpr auto report_interval = 1200ms;

enum class news { none, reports_on, is_removed, is_restarted, is_broken };

struct departure_case {
  const char* name;
  /// Time from the news of the shutdown to the end of the response; nothing if there was no news.
  std::optional<std::chrono::milliseconds> leaving_for;
  news after;
  bool store_answers;
  /// Responses that end at the same moment.
  std::size_t ends;
  bool is_completed;
};

std::ostream& operator<<(std::ostream& out, const departure_case& each) {
  return out << each.name;
}

const departure_case departures[] = {
    {"not known to leave", std::nullopt, news::reports_on, true, 1, false},
    {"reports on", 2500ms, news::reports_on, true, 1, true},
    {"reports on, several responses", 2500ms, news::reports_on, true, 3, true},
    {"its row is removed", 2500ms, news::is_removed, true, 1, true},
    {"has died before it stopped listening", 500ms, news::none, true, 1, false},
    {"has died in its last seconds", 2500ms, news::none, true, 1, false},
    {"has started again", 2500ms, news::is_restarted, true, 1, false},
    {"its group is broken", 2500ms, news::is_broken, true, 1, false},
    {"no store", 2500ms, news::none, false, 1, true},
    {"no store, it should listen still", 1500ms, news::none, false, 1, false},
    {"no store, several responses end at once", 2500ms, news::none, false, 2, false},
};

struct departure_fixture {
  ~departure_fixture() { clock.shut_down(); }

  gateway::target_entry make_entry(bool draining) {
    gateway::target_entry entry;
    entry.id = "one";
    entry.service = "shop";
    entry.address = "one";
    entry.started_at_ms = start;
    entry.draining = draining;
    entry.sequence = ++sequence;
    return entry;
  }

  void write(gateway::target_entry entry) { registry.update("one", ++version, std::move(entry)); }

  void apply(news each) {
    gateway::target_entry entry = make_entry(true);
    switch (each) {
    case news::none:
      return;
    case news::reports_on:
      break;
    case news::is_removed:
      registry.remove("one", ++version);
      return;
    case news::is_restarted:
      entry.started_at_ms = start + 1;
      entry.draining = false;
      break;
    case news::is_broken:
      entry.membership = gateway::group_membership{"g", 1, 0, gateway::membership_state::broken};
      break;
    }
    write(std::move(entry));
  }

  void end_response(std::optional<bool>& result) { end_response(result, checker); }
  void end_response(std::optional<bool>& result, edge::departure_checker& asked) {
    const auto run = [this, &asked](std::optional<bool>& answer) -> support::task<> {
      answer = co_await asked.has_completed(make_entry(true), clock.now(), clock.now() + 5s);
    };
    support::spawn(context.get_executor(), "end", run(result));
    clock.run_for(0ms);
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::target_registry registry{clock};
  bool store_answers = true;
  edge::departure_checker checker{
      {clock, registry, [this]() -> support::task<bool> { co_return store_answers; }},
      {2000ms, report_interval}};
  std::uint64_t version = 0;
  std::uint64_t sequence = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(end_at_a_target_that_stopped_listening_is_judged_by_what_follows,
                     data::make(departures), each) {
  departure_fixture world;
  world.store_answers = each.store_answers;
  world.write(world.make_entry(false));
  if (each.leaving_for) {
    world.write(world.make_entry(true));
    world.clock.run_for(*each.leaving_for);
  }
  std::vector<std::optional<bool>> results(each.ends);
  for (std::optional<bool>& result : results)
    world.end_response(result);
  world.clock.run_for(700ms);
  world.apply(each.after);
  world.clock.run_for(2s);
  for (const std::optional<bool>& result : results)
    BOOST_TEST(result.value() == each.is_completed);
}

BOOST_AUTO_TEST_CASE(target_that_left_without_a_report_is_believed_if_a_response_ends_alone) {
  departure_fixture world;
  world.write(world.make_entry(false));
  world.registry.remove("one", ++world.version);
  world.clock.run_for(2500ms);
  std::optional<bool> alone;
  world.end_response(alone);
  world.clock.run_for(1s);
  BOOST_TEST(alone.value());
  std::optional<bool> first;
  std::optional<bool> second;
  world.end_response(first);
  world.clock.run_for(20ms);
  world.end_response(second);
  world.clock.run_for(1s);
  BOOST_TEST(!first.value());
  BOOST_TEST(!second.value());
}

BOOST_AUTO_TEST_CASE(row_that_is_read_during_the_wait_shows_that_the_target_runs) {
  departure_fixture world;
  world.write(world.make_entry(false));
  world.write(world.make_entry(true));
  world.clock.run_for(2500ms);
  edge::departure_checker reader{{world.clock, world.registry,
                                  [&]() -> support::task<bool> {
                                    world.write(world.make_entry(true));
                                    co_return true;
                                  }},
                                 {2000ms, report_interval}};
  std::optional<bool> result;
  world.end_response(result, reader);
  world.clock.run_for(1s);
  BOOST_TEST(result.value());
}

// Guards against ORDER: a node may learn only now of a report that the target wrote before it died.
BOOST_AUTO_TEST_CASE(report_that_the_first_read_brings_shows_nothing) {
  departure_fixture world;
  world.write(world.make_entry(false));
  world.write(world.make_entry(true));
  world.clock.run_for(2500ms);
  bool is_first = true;
  edge::departure_checker reader{{world.clock, world.registry,
                                  [&]() -> support::task<bool> {
                                    if (std::exchange(is_first, false))
                                      world.write(world.make_entry(true));
                                    co_return true;
                                  }},
                                 {2000ms, report_interval}};
  std::optional<bool> result;
  world.end_response(result, reader);
  world.clock.run_for(3s);
  BOOST_TEST(!result.value());
}
