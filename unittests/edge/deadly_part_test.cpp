#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::tainted_fleet;
namespace data = boost::unit_test::data;

namespace {

/// From this time after the fifth crash on, all nodes must know the part.
constexpr auto learning_time = 3s;
constexpr std::size_t crashes_that_count = 5;
constexpr std::size_t max_sent_later = 3;

struct fleet_size {
  std::size_t nodes;
  std::size_t targets;
  bool deadly_first;
};

std::ostream& operator<<(std::ostream& out, const fleet_size& each) {
  return out << each.nodes << " nodes, " << each.targets << " targets, deadly part "
             << (each.deadly_first ? "first" : "in the middle");
}

const std::vector<fleet_size> small_fleets = {{6, 20, false}, {6, 20, true}, {6, 8, false}};
const std::vector<fleet_size> large_fleets = {{300, 60, false}};

void expect_only_deadly_requests_end(const tainted_fleet& fleet, double served_share) {
  const auto& crashes = fleet.side.deadly_crashes;
  BOOST_REQUIRE(!crashes.empty());
  const auto counted = crashes[std::min(crashes.size(), crashes_that_count) - 1];
  BOOST_TEST(fleet.deadly_arrivals_after(counted + learning_time) <= max_sent_later);
  BOOST_TEST(fleet.served_after(counted + 2 * learning_time) > served_share);
}

void expect_deadly_requests_are_stopped(tainted_fleet& fleet, bool deadly_first) {
  fleet.side.deadly_part = fleet.deadly;
  fleet.send_requests(14s, deadly_first);
  fleet.run_for(2s);
  expect_only_deadly_requests_end(fleet, 0.9);
}

} // namespace

BOOST_DATA_TEST_CASE(deadly_prompt_part_stops_reaching_targets, data::make(small_fleets), each) {
  tainted_fleet fleet(each.nodes, each.targets);
  expect_deadly_requests_are_stopped(fleet, each.deadly_first);
}

BOOST_DATA_TEST_CASE(three_hundred_nodes_stop_a_deadly_prompt_part, data::make(large_fleets),
                     each) {
  tainted_fleet fleet(each.nodes, each.targets);
  expect_deadly_requests_are_stopped(fleet, each.deadly_first);
}

// Guards against BUDGET: a part that crashes targets after their first event is never banned.
BOOST_DATA_TEST_CASE(deadly_prompt_part_is_found_after_the_first_event, data::make(small_fleets),
                     each) {
  tainted_fleet fleet(each.nodes, each.targets);
  fleet.side.crashes_late = true;
  expect_deadly_requests_are_stopped(fleet, each.deadly_first);
}

// A target may crash before its first event has left it, or after.
BOOST_DATA_TEST_CASE(deadly_prompt_part_is_found_whether_or_not_an_event_comes,
                     data::make(small_fleets), each) {
  tainted_fleet fleet(each.nodes, each.targets);
  const auto alternate = [&]() -> support::task<> {
    for (;;) {
      co_await fleet.clock.sleep_for(300ms);
      fleet.side.crashes_late = !fleet.side.crashes_late;
    }
  };
  support::spawn(fleet.context.get_executor(), "alternate", alternate());
  expect_deadly_requests_are_stopped(fleet, each.deadly_first);
}

// Guards against LOST: a part that all sound requests share is banned in place of the deadly one.
BOOST_DATA_TEST_CASE(sound_part_that_was_answered_before_is_not_banned, data::make({false, true}),
                     crashes_late) {
  tainted_fleet fleet(3, 17);
  fleet.side.deadly_part = fleet.deadly;
  fleet.side.crashes_late = crashes_late;
  const auto send_sound = [&] { fleet.send(fleet.random.below(3), "shared"); };
  for (int i = 0; i < 8; ++i) {
    send_sound();
    fleet.run_for(1500ms);
  }
  // So few sound requests that several crashes come between two of them.
  for (int i = 0; i < 64; ++i) {
    fleet.send(fleet.random.below(3), "deadly shared");
    if (i % 6 == 0)
      send_sound();
    fleet.run_for(250ms);
  }
  expect_only_deadly_requests_end(fleet, 0.5);
}

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t end_of_seeds = 25;

/// Callers that send a request once more, with the same content, if it was not answered.
class repeating_callers {
public:
  explicit repeating_callers(tainted_fleet& fleet) : fleet_(fleet) {}

  /// Sends requests to random nodes for `span`, all with parts of their own.
  void send_requests(std::chrono::milliseconds span) {
    for (auto sent = 0ms; sent < span; sent += interval) {
      const bool harms = fleet_.random.uniform_real() < fleet_.deadly_share;
      const std::string own = "own" + std::to_string(sent.count());
      net::server_request request;
      request.method = "POST";
      request.path = "/stream/x";
      request.headers.add("Parts", "system " + (harms ? fleet_.deadly + " " : std::string()) + own);
      request.body = "body of " + own;
      first_tries_.emplace(fleet_.callers.size(), request);
      fleet_.send(fleet_.random.below(fleet_.edges.size()), std::move(request), harms);
      fleet_.run_for(interval);
      repeat_failed_requests();
    }
  }

private:
  void repeat_failed_requests() {
    std::erase_if(first_tries_, [this](auto& each) {
      const tainted_fleet::caller& caller = *fleet_.callers[each.first];
      const bool failed =
          caller.writer.aborted || (caller.writer.finished && caller.writer.status != 200);
      if (failed)
        fleet_.send(fleet_.random.below(fleet_.edges.size()), std::move(each.second),
                    caller.deadly);
      return failed || caller.writer.finished;
    });
  }

  static constexpr std::chrono::milliseconds interval{4};

  tainted_fleet& fleet_;
  /// By index in the fleet's callers.
  std::map<std::size_t, net::server_request> first_tries_;
};

} // namespace

// Sound requests are sent again to targets that crash next, so that they seem to be the cause.
BOOST_DATA_TEST_CASE(deadly_prompt_part_is_found_beside_requests_that_lose_several_targets,
                     data::xrange(first_seed, end_of_seeds), seed) {
  tainted_fleet fleet(9, 8, seed);
  fleet.side.deadly_part = fleet.deadly;
  repeating_callers(fleet).send_requests(14s);
  fleet.run_for(2s);
  const auto& crashes = fleet.side.deadly_crashes;
  BOOST_REQUIRE(!crashes.empty());
  const auto counted = crashes[std::min(crashes.size(), crashes_that_count) - 1];
  const std::size_t sent_later = fleet.deadly_arrivals_after(counted + learning_time);
  BOOST_TEST_MESSAGE(crashes.size() << " crashes, " << sent_later << " sent later");
  BOOST_TEST(sent_later <= max_sent_later);
}

BOOST_DATA_TEST_CASE(node_that_starts_knows_a_banned_part_before_it_serves,
                     data::make(fakes::node_returns()), each) {
  tainted_fleet fleet(4, 12);
  fleet.play_until_banned();
  fleet.run_for(4s);
  each.play(fleet);
  fleet.wait_until_ready(2);
  BOOST_REQUIRE(fleet.edges[2]->node->ready());
  const auto crashes = fleet.side.deadly_crashes.size();
  fleet.send(2, "system topic1 deadly");
  fleet.run_for(1s);
  BOOST_TEST(fleet.callers.back()->writer.status == 503);
  BOOST_TEST(fleet.side.deadly_crashes.size() == crashes);
  fleet.send(2, "system topic1");
  fleet.run_for(1s);
  BOOST_TEST(fleet.callers.back()->writer.status == 200);
}

BOOST_AUTO_TEST_CASE(node_that_was_cut_off_learns_a_banned_part) {
  tainted_fleet fleet(4, 12);
  fleet.network.cut.insert(fleet.edges[3]->peer_address);
  fleet.cut_store(3, true);
  fleet.run_for(2s);
  fleet.play_until_banned();
  BOOST_TEST(fleet.banned(3) == 0);
  fleet.network.cut.erase(fleet.edges[3]->peer_address);
  fleet.run_for(2s);
  BOOST_TEST(fleet.banned(3) == 1);
}

BOOST_AUTO_TEST_CASE(request_with_a_banned_part_is_told_that_it_was_not_run) {
  tainted_fleet fleet(4, 12);
  fleet.play_until_banned();
  fleet.run_for(2s);
  fleet.send(1, "system topic1 deadly");
  fleet.run_for(1ms);
  const fakes::recording_writer& answer = fleet.callers.back()->writer;
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.body.find("deadly") != std::string::npos);
  BOOST_TEST(std::stoll(answer.headers.find("Retry-After-Ms").value_or("0")) >= 10'000);
}

namespace {

void lift_ban(tainted_fleet& fleet, std::size_t node) {
  fakes::recording_writer writer;
  net::server_request request;
  request.method = "POST";
  request.path = "/camphorlug/v1/crashes/lift";
  request.query = "service=shop&part=deadly";
  support::spawn(fleet.context.get_executor(), "lift",
                 fleet.edges[node]->node->handle_peer(std::move(request), writer));
  fleet.run_for(2s);
  BOOST_TEST(writer.status == 200);
}

void start_all_nodes_anew(tainted_fleet& fleet) {
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.kill(i);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.start(i);
}

void restart_all_nodes(tainted_fleet& fleet) {
  start_all_nodes_anew(fleet);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.wait_until_ready(i);
}

} // namespace

// Guards against BUDGET: a ban that a restored store has lost is forgotten with the last node.
BOOST_DATA_TEST_CASE(ban_that_a_restored_store_has_lost_outlives_a_restart_of_all_nodes,
                     data::make({4, 20}), nodes) {
  tainted_fleet fleet(nodes, 12);
  const fakes::store_copy copy = fleet.copy_store();
  fleet.play_until_banned();
  fleet.run_for(2s);
  fleet.restore_store(copy, 500ms);
  fleet.run_for(5s);
  restart_all_nodes(fleet);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    BOOST_TEST(fleet.banned(i) == 1, "node " << i);
}

// Guards against BUDGET: a node reads its configuration and its targets, but the bans only after it
// has begun to serve.
BOOST_DATA_TEST_CASE(restarted_nodes_whose_first_reads_failed_know_a_ban_before_they_serve,
                     data::make({0, 200, 400, 600, 800, 1000}), outage_ms) {
  tainted_fleet fleet(3, 12);
  fleet.play_until_banned();
  fleet.run_for(2s);
  start_all_nodes_anew(fleet);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.cut_store(i, true);
  fleet.run_for(std::chrono::milliseconds(outage_ms));
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.cut_store(i, false);
  for (int step = 0; step < 500; ++step) {
    fleet.run_for(10ms);
    for (std::size_t i = 0; i < fleet.edges.size(); ++i)
      BOOST_REQUIRE_MESSAGE(!fleet.edges[i]->node->ready() || fleet.banned(i) == 1,
                            "node " << i << " serves without the ban at step " << step);
  }
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    BOOST_TEST(fleet.edges[i]->node->ready(), "node " << i);
}

// Guards against refusals of a sound part: an older copy of the store brings a lifted ban back.
BOOST_AUTO_TEST_CASE(lifted_ban_that_a_restored_store_holds_again_is_deleted) {
  tainted_fleet fleet(4, 12);
  fleet.play_until_banned();
  fleet.run_for(2s);
  const fakes::store_copy copy = fleet.copy_store();
  lift_ban(fleet, 1);
  fleet.restore_store(copy, 500ms);
  fleet.run_for(5s);
  restart_all_nodes(fleet);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    BOOST_TEST(fleet.banned(i) == 0, "node " << i);
}

BOOST_AUTO_TEST_CASE(lifted_ban_ends_at_all_nodes_and_counts_anew) {
  tainted_fleet fleet(4, 12);
  fleet.play_until_banned();
  fleet.run_for(2s);
  fleet.side.deadly_part = "";
  lift_ban(fleet, 1);
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(fleet.banned(i) == 0);
    fleet.send(i, "system topic1 deadly");
    fleet.run_for(1s);
    BOOST_TEST(fleet.callers.back()->writer.status == 200);
  }
}

namespace {

struct loss_case {
  const char* name;
  /// Called every 20 ms.
  void (*harm)(tainted_fleet&, int step);
};

std::ostream& operator<<(std::ostream& out, const loss_case& each) {
  return out << each.name;
}

const std::vector<loss_case> losses = {
    {"a domain of half of the targets",
     [](tainted_fleet& fleet, int step) {
       if (step == 100)
         fleet.crash_live_targets(10);
     }},
    {"all targets at once",
     [](tainted_fleet& fleet, int step) {
       if (step == 100)
         fleet.crash_live_targets(20);
     }},
    {"all targets, again and again",
     [](tainted_fleet& fleet, int step) {
       if (step > 0 && step % 200 == 0)
         fleet.crash_live_targets(20);
     }},
    {"one target after the other",
     [](tainted_fleet& fleet, int step) {
       if (step % 25 == 0)
         fleet.crash_live_targets(1);
     }},
    {"connections are reset and targets go on",
     [](tainted_fleet& fleet, int step) {
       if (step % 5 == 0)
         fleet.side.reset_connections("t" + std::to_string(fleet.random.below(20)));
     }},
};

} // namespace

BOOST_DATA_TEST_CASE(ordinary_losses_ban_no_prompt_part, data::make(losses), each) {
  tainted_fleet fleet(6, 20);
  for (int step = 0; step < 800; ++step) {
    each.harm(fleet, step);
    // Most topics are rare, so that few answers speak for them.
    const std::string topic = "rare" + std::to_string(fleet.random.below(200));
    fleet.send(fleet.random.below(6), "system " + topic);
    fleet.run_for(20ms);
    if (step % 50 == 49)
      BOOST_REQUIRE_MESSAGE(fleet.banned(0) == 0, fleet.state(0)["banned_parts"].dump());
  }
  for (std::size_t i = 0; i < 6; ++i)
    BOOST_TEST(fleet.banned(i) == 0);
}
