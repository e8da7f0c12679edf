#include "camphorlug/gateway/demand_meter.h"
#include "camphorlug/gateway/engine_profile.h"
#include "camphorlug/gateway/event_splitter.h"
#include "camphorlug/gateway/gateway_selection.h"
#include "camphorlug/gateway/retry_limiter.h"
#include "camphorlug/gateway/stall_detector.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct clock_fixture {
  asio::io_context context;
  support::virtual_clock clock{context};
};

/// Whether the retries of six nodes at random times stay within the limit of every window.
bool retries_stay_bounded(std::uint64_t seed) {
  clock_fixture world;
  std::mt19937_64 random(seed);
  const gateway::retry_limits limits{0.2, 10s, 103};
  std::vector<std::unique_ptr<gateway::retry_limiter>> nodes;
  for (int i = 0; i < 6; ++i)
    nodes.push_back(std::make_unique<gateway::retry_limiter>(world.clock, limits,
                                                             [] { return std::size_t{6}; }));
  std::deque<support::clock::time_point> requests;
  std::deque<support::clock::time_point> retries;
  for (int step = 0; step < 3000; ++step) {
    world.clock.run_for(std::chrono::milliseconds(random() % 20));
    auto& node = *nodes[random() % nodes.size()];
    // Request load pauses regularly; requests outside the window must not allow later retries.
    if (step / 700 % 2 == 0) {
      node.count_request("service");
      requests.push_back(world.clock.now());
    }
    if (node.try_acquire("service"))
      retries.push_back(world.clock.now());
    while (!requests.empty() && world.clock.now() - requests.front() >= limits.window)
      requests.pop_front();
    while (!retries.empty() && world.clock.now() - retries.front() >= limits.window)
      retries.pop_front();
    const double bound = limits.ratio * static_cast<double>(requests.size()) + limits.slack;
    if (static_cast<double>(retries.size()) > bound)
      return false;
  }
  return true;
}

gateway::node_status node_at(const char* address, const char* data_centre, bool ready,
                             bool leaving) {
  gateway::node_status node;
  node.public_address = address;
  node.data_centre = data_centre;
  node.ready = ready;
  node.leaving = leaving;
  return node;
}

struct selection_case {
  const char* name;
  std::vector<gateway::node_status> nodes;
  std::vector<std::string> expected;
};

std::ostream& operator<<(std::ostream& out, const selection_case& each) {
  return out << each.name;
}

const std::vector<selection_case> selection_cases = {
    {"enough local nodes",
     {node_at("a", "here", true, false), node_at("b", "here", true, false),
      node_at("c", "there", true, false)},
     {"a", "b"}},
    {"too few local nodes",
     {node_at("a", "here", true, false), node_at("c", "there", true, false)},
     {"a", "c"}},
    {"leaving nodes are excluded",
     {node_at("a", "here", true, true), node_at("b", "here", true, false),
      node_at("c", "there", true, false)},
     {"b", "c"}},
    {"nodes that are not ready are excluded",
     {node_at("a", "here", false, false), node_at("c", "there", true, false)},
     {"c"}},
    {"falls back to nodes that are not ready", {node_at("a", "here", false, false)}, {"a"}},
    {"falls back to leaving nodes", {node_at("a", "here", true, true)}, {"a"}},
};

} // namespace

BOOST_DATA_TEST_CASE(selected_gateways_are_local_ready_and_not_leaving, data::make(selection_cases),
                     each) {
  const auto chosen = gateway::select_gateway_addresses(each.nodes, "here", 2);
  BOOST_TEST(chosen == each.expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(retries_of_all_nodes_stay_within_the_limit) {
  BOOST_TEST(rc::check("retries within ratio and slack", [] {
    RC_ASSERT(retries_stay_bounded(*rc::gen::arbitrary<std::uint64_t>()));
  }));
}

BOOST_AUTO_TEST_CASE(events_keep_their_bytes_and_ids) {
  const std::string stream = "id: 1\ndata: a\n\nx-weight-versions: 3\nid:2\ndata: b\n\n"
                             "id: x\ndata: c\n\nid: 4\r\ndata: d\r\n\r\nid: 5";
  for (std::size_t piece = 1; piece < stream.size(); ++piece) {
    gateway::event_splitter splitter;
    std::string bytes;
    std::string ids;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      splitter.append(std::string_view(stream).substr(at, piece));
      while (auto event = splitter.next()) {
        bytes += event->bytes;
        ids += event->id ? std::to_string(*event->id) : "-";
      }
    }
    BOOST_TEST(bytes == stream.substr(0, stream.size() - 5));
    BOOST_TEST(ids == "12-4");
    BOOST_TEST(splitter.has_partial_event());
  }
}

BOOST_AUTO_TEST_CASE(last_id_of_an_event_counts) {
  gateway::event_splitter splitter;
  splitter.append("id: 6\ndata: a\nid: 7\n\n");
  const auto event = splitter.next();
  BOOST_REQUIRE(event);
  BOOST_TEST(event->id.value_or(0) == 7);
}

BOOST_FIXTURE_TEST_CASE(suspension_expires_and_doubles, clock_fixture) {
  gateway::suspicion_list list(clock);
  list.suspect("a", "test");
  BOOST_TEST(list.suspected("a"));
  BOOST_TEST(list.own().size() == 1);
  clock.run_for(gateway::suspicion_list::initial_suspension);
  BOOST_TEST(!list.suspected("a"));
  list.suspect("a", "test");
  clock.run_for(gateway::suspicion_list::initial_suspension);
  BOOST_TEST(list.suspected("a"));
  list.count_success("a");
  BOOST_TEST(!list.suspected("a"));
}

BOOST_FIXTURE_TEST_CASE(tolerated_failures_do_not_make_a_target_suspected, clock_fixture) {
  gateway::suspicion_list list(clock);
  for (int i = 0; i < gateway::suspicion_list::tolerated_failures; ++i)
    list.count_failure("a", "test");
  BOOST_TEST(!list.suspected("a"));
  list.count_failure("a", "test");
  BOOST_TEST(list.suspected("a"));
}

BOOST_FIXTURE_TEST_CASE(suspicion_from_a_peer_is_not_relayed, clock_fixture) {
  gateway::suspicion_list list(clock);
  list.add_peer_suspicion("a");
  BOOST_TEST(list.suspected("a"));
  BOOST_TEST(list.own().empty());
}

BOOST_FIXTURE_TEST_CASE(nodes_do_not_prolong_each_others_suspicions, clock_fixture) {
  gateway::suspicion_list one(clock);
  gateway::suspicion_list other(clock);
  one.suspect("a", "test");
  other.suspect("a", "test");
  for (std::chrono::milliseconds passed{0}; passed < 3s; passed += 200ms) {
    clock.run_for(200ms);
    for (const std::string& target : one.own())
      other.add_peer_suspicion(target);
    for (const std::string& target : other.own())
      one.add_peer_suspicion(target);
  }
  BOOST_TEST(!one.suspected("a"));
  BOOST_TEST(!other.suspected("a"));
}

BOOST_FIXTURE_TEST_CASE(pools_without_requests_are_forgotten, clock_fixture) {
  gateway::demand_meter meter(clock);
  for (int i = 0; i < 1000; ++i) {
    meter.count_arrival({"llm", "made-up-" + std::to_string(i)});
    clock.run_for(100ms);
  }
  // A pool that got one request is below the limit after some 22 s.
  BOOST_TEST(meter.demand().size() < 300);
}

BOOST_FIXTURE_TEST_CASE(engine_that_writes_to_no_stream_is_stalled, clock_fixture) {
  gateway::stall_detector detector(clock);
  int stall_calls = 0;
  gateway::stall_detector::stream first(detector, "head", [&] { ++stall_calls; });
  gateway::stall_detector::stream second(detector, "head", [&] { ++stall_calls; });
  gateway::stall_detector::stream waiting(detector, "other", [&] { ++stall_calls; });
  const auto run = [&](std::chrono::milliseconds span, bool writes) {
    std::size_t stalled = 0;
    for (auto spent = 0ms; spent < span; spent += 50ms) {
      clock.run_for(50ms);
      if (writes)
        first.progress();
      stalled += detector.check().size();
    }
    return stalled;
  };
  // A stream that waits for its first event is not a stall while other streams get events.
  BOOST_TEST(run(2000ms, true) == 0);
  BOOST_TEST(run(600ms, false) == 1);
  BOOST_TEST(stall_calls == 2);
  BOOST_TEST(detector.recent_stalls().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(process_pause_is_not_a_stall, clock_fixture) {
  gateway::stall_detector detector(clock);
  int stall_calls = 0;
  gateway::stall_detector::stream stream(detector, "head", [&] { ++stall_calls; });
  stream.progress();
  detector.check();
  clock.run_for(3s);
  BOOST_TEST(detector.check().empty());
  BOOST_TEST(stall_calls == 0);
}

BOOST_FIXTURE_TEST_CASE(demand_is_rate_times_hold_time_including_refusals, clock_fixture) {
  gateway::demand_meter meter(clock);
  const gateway::target_pool pool{"engines", "model"};
  for (int i = 0; i < 800; ++i) {
    clock.run_for(25ms);
    meter.count_arrival(pool);
    // Half of the requests are refused and hold no slot.
    if (i % 2 == 0)
      meter.record_hold(pool, 500ms);
  }
  // 40 requests per second hold a slot for half a second each.
  BOOST_TEST(meter.demand().at(pool) > 17);
  BOOST_TEST(meter.demand().at(pool) < 23);
  clock.run_for(30s);
  BOOST_TEST(meter.demand().at(pool) < 0.1);
}

BOOST_FIXTURE_TEST_CASE(demand_includes_the_slots_that_wait_while_prompts_are_read, clock_fixture) {
  gateway::demand_meter meter(clock);
  const gateway::target_pool pool{"engines", "model"};
  for (int i = 0; i < 800; ++i) {
    clock.run_for(25ms);
    meter.count_arrival(pool, 1s);
    meter.record_hold(pool, 500ms);
  }
  // 40 requests per second hold a slot for half a second and keep slots waiting for one second.
  BOOST_TEST(meter.demand().at(pool) > 51);
  BOOST_TEST(meter.demand().at(pool) < 69);
  clock.run_for(30s);
  BOOST_TEST(meter.demand().at(pool) < 0.3);
}

namespace {

struct reading_case {
  const char* name;
  double tokens_per_second;
  const char* model;
  double prompt_tokens;
  std::chrono::milliseconds slot_time;
};

std::ostream& operator<<(std::ostream& out, const reading_case& each) {
  return out << each.name;
}

const reading_case reading_cases[] = {
    {"a model without factor", 10'000, "plain", 1000, 3200ms},
    {"a faster model", 10'000, "fast", 1000, 1600ms},
    {"an unknown model", 10'000, "other", 1000, 0ms},
    {"an unknown rate", 0, "plain", 1000, 0ms},
    {"no prompt", 10'000, "plain", 0, 0ms},
    {"a negative count", 10'000, "plain", -5, 0ms},
    {"a count that is no number", 10'000, "plain", std::numeric_limits<double>::quiet_NaN(), 0ms},
    {"more than is believed", 10'000, "plain", 1e300, 320s},
};

} // namespace

BOOST_DATA_TEST_CASE(reading_occupies_all_slots_of_a_group, data::make(reading_cases), each) {
  gateway::engine_profile engine;
  engine.batch_slots = 32;
  engine.reading_tokens_per_second = each.tokens_per_second;
  engine.models = {{"plain", 4, 0.5, 1, 16s, 1600ms}, {"fast", 2, 0.5, 0.5, 12s, 1100ms}};
  const auto slot_time = engine.reading_slot_time(each.model, each.prompt_tokens);
  BOOST_TEST((std::chrono::round<std::chrono::milliseconds>(slot_time) == each.slot_time));
}
