#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::connection_fault;
namespace data = boost::unit_test::data;

namespace camphorlug::fakes {
std::ostream& operator<<(std::ostream& out, connection_fault fault) {
  return out << static_cast<int>(fault);
}
} // namespace camphorlug::fakes

namespace {

struct plain_service_fixture : fakes::simulated_cluster {
  plain_service_fixture() {
    add_plain(3);
    add_nodes(2);
    run_for(1s);
    apply(fakes::plain_document());
    BOOST_REQUIRE(run_until([this] { return usable(0) && usable(1); }, 10s));
  }

  bool usable(std::size_t node) { return routable(node, "plain") == 3; }

  void set_fault(connection_fault fault, std::size_t connections) {
    for (auto& [id, engine] : fleet.engines()) {
      engine.next_connection = fault;
      engine.faulty_connections = connections;
    }
  }

  std::size_t executions() {
    std::size_t count = 0;
    for (auto& [id, engine] : fleet.engines())
      count += engine.executed.size();
    return count;
  }

  net::server_request keyed_order(const std::string& key) {
    auto request = fakes::plain_request("/orders/1", "pay");
    request.headers.add("Idempotency-Key", key);
    return request;
  }
};

struct expectation {
  connection_fault fault;
  std::size_t connections;
  int status;
  const char* outcome;
  std::size_t executions;
};

std::ostream& operator<<(std::ostream& out, const expectation& row) {
  return out << static_cast<int>(row.fault) << "x" << row.connections;
}

// Expected results of a request that must run at most once, if every target has the
// fault.
const expectation non_idempotent_rows[] = {
    {connection_fault::none, 0, 200, "", 1},
    {connection_fault::refused, 1, 503, "not-run", 0},
    {connection_fault::broken_before_run, 1, 502, "unknown", 0},
    {connection_fault::broken_after_run, 1, 502, "unknown", 1},
    {connection_fault::silent, 1, 502, "unknown", 1},
    {connection_fault::declared_not_run, 1, 503, "not-run", 0},
    {connection_fault::crossed, 1, 502, "unknown", 1},
};

std::string outcome_of(const fakes::recording_writer& response) {
  return response.headers.find("Camphorlug-Outcome").value_or("");
}

} // namespace

BOOST_DATA_TEST_CASE(non_idempotent_runs_at_most_once, data::make(non_idempotent_rows), row) {
  plain_service_fixture fixture;
  fixture.set_fault(row.fault, row.connections);
  const auto response = fixture.call(0, fakes::plain_request("/orders/1", "pay"));
  BOOST_TEST(response->status == row.status);
  BOOST_TEST(outcome_of(*response) == row.outcome);
  BOOST_TEST(fixture.executions() == row.executions);
}

BOOST_DATA_TEST_CASE(keyed_non_idempotent_runs_at_most_once_over_repeats,
                     data::make(non_idempotent_rows), row) {
  plain_service_fixture fixture;
  fixture.set_fault(row.fault, row.connections);
  const auto first = fixture.call(0, fixture.keyed_order("k1"));
  BOOST_TEST(outcome_of(*first) == row.outcome);
  fixture.set_fault(connection_fault::none, 0);
  const auto second = fixture.call(1, fixture.keyed_order("k1"));
  // Only a request that did not run the first time may run now.
  const bool may_run_now = std::string(row.outcome) == "not-run";
  BOOST_TEST(fixture.executions() == row.executions + (may_run_now ? 1 : 0));
  if (row.status == 200) {
    BOOST_TEST(second->body == first->body);
    BOOST_TEST(second->headers.find("Camphorlug-Replayed").value_or("") == "true");
  }
}

BOOST_AUTO_TEST_CASE(refusing_targets_are_skipped) {
  plain_service_fixture fixture;
  for (const char* id : {"p0", "p1"}) {
    fixture.fleet.engine(id).next_connection = connection_fault::refused;
    fixture.fleet.engine(id).faulty_connections = 1;
  }
  const auto response = fixture.call(0, fakes::plain_request("/orders/1", "pay"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(fixture.executions() == 1);
}

BOOST_AUTO_TEST_CASE(same_key_through_two_nodes_at_once_runs_once) {
  plain_service_fixture fixture;
  fakes::recording_writer first;
  fakes::recording_writer second;
  fixture.begin_call(0, fixture.keyed_order("k1"), first);
  fixture.begin_call(1, fixture.keyed_order("k1"), second);
  fixture.run_for(10s);
  BOOST_TEST(fixture.executions() == 1);
  BOOST_TEST((first.status == 200) != (second.status == 200));
  const auto& other = first.status == 200 ? second : first;
  BOOST_TEST(outcome_of(other) == "unknown");
}

// A caller that has its answer may repeat the request at once, at any node.
BOOST_AUTO_TEST_CASE(same_key_gets_the_recorded_answer_as_soon_as_the_first_caller_has_it) {
  plain_service_fixture fixture;
  fakes::recording_writer first;
  fixture.begin_call(0, fixture.keyed_order("k1"), first);
  while (!first.finished)
    fixture.run_for(100us);
  BOOST_TEST(first.status == 200);
  const auto second = fixture.call(1, fixture.keyed_order("k1"));
  BOOST_TEST(second->status == 200);
  BOOST_TEST(second->body == first.body);
  BOOST_TEST(fixture.executions() == 1);
}

namespace {

struct store_trouble {
  const char* name;
  /// Changes the store when the target has run the request.
  void (*begin)(fakes::shared_table&);
};

std::ostream& operator<<(std::ostream& out, const store_trouble& each) {
  return out << each.name;
}

const store_trouble store_troubles[] = {
    {"the store is down", [](fakes::shared_table& table) { table.down = true; }},
    {"the store is slow", [](fakes::shared_table& table) { table.delay = 1500ms; }},
    {"the store does not answer", [](fakes::shared_table& table) { table.delay = 1min; }},
};

constexpr auto max_wait_for_store = 600ms;

} // namespace

BOOST_DATA_TEST_CASE(response_waits_for_the_store_for_a_limited_time, data::make(store_troubles),
                     each) {
  plain_service_fixture fixture;
  fakes::recording_writer first;
  fixture.begin_call(0, fixture.keyed_order("k1"), first);
  BOOST_REQUIRE(fixture.run_until([&] { return fixture.executions() == 1; }, 5s));
  each.begin(fixture.table);
  fixture.run_for(max_wait_for_store);
  BOOST_TEST(first.status == 200);
  fixture.run_for(10s);
  fixture.table.down = false;
  fixture.table.delay = 2ms;
  fixture.run_for(10s);
  // The key stays claimed, whether its outcome is recorded or not.
  const auto second = fixture.call(1, fixture.keyed_order("k1"));
  BOOST_TEST(second->status != 503);
  BOOST_TEST(fixture.executions() == 1);
  if (second->status == 200)
    BOOST_TEST(second->body == first.body);
}

BOOST_AUTO_TEST_CASE(same_key_with_other_content_is_refused) {
  plain_service_fixture fixture;
  fixture.call(0, fixture.keyed_order("k1"));
  auto changed = fixture.keyed_order("k1");
  changed.body = "pay more";
  const auto response = fixture.call(1, std::move(changed));
  BOOST_TEST(response->status == 422);
  BOOST_TEST(fixture.executions() == 1);
}

BOOST_AUTO_TEST_CASE(claim_with_lost_answer_is_resolved_by_reading_its_row) {
  plain_service_fixture fixture;
  fixture.table.commit_answers_to_drop = 1;
  const auto response = fixture.call(0, fixture.keyed_order("k1"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(fixture.executions() == 1);
}

BOOST_AUTO_TEST_CASE(store_down_refuses_keyed_requests_as_not_run) {
  plain_service_fixture fixture;
  fixture.table.down = true;
  const auto response = fixture.call(0, fixture.keyed_order("k1"));
  BOOST_TEST(response->status == 503);
  BOOST_TEST(outcome_of(*response) == "not-run");
  BOOST_TEST(fixture.executions() == 0);
}

BOOST_AUTO_TEST_CASE(store_slow_past_the_deadline_refuses_as_not_run) {
  plain_service_fixture fixture;
  fixture.table.delay = 3s;
  auto request = fixture.keyed_order("k1");
  request.headers.add("Camphorlug-Deadline-Ms", "1000");
  const auto response = fixture.call(0, std::move(request));
  BOOST_TEST(outcome_of(*response) == "not-run");
  BOOST_TEST(fixture.executions() == 0);
}

BOOST_DATA_TEST_CASE(idempotent_request_is_retried_at_another_target,
                     data::make({connection_fault::refused, connection_fault::broken_before_run,
                                 connection_fault::broken_after_run, connection_fault::silent,
                                 connection_fault::declared_not_run, connection_fault::crossed}),
                     fault) {
  plain_service_fixture fixture;
  for (const char* id : {"p0", "p1"}) {
    fixture.fleet.engine(id).next_connection = fault;
    fixture.fleet.engine(id).faulty_connections = 1;
  }
  const auto response = fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body.starts_with("ran "));
}

// All targets answer with errors of their own. The last one is forwarded, with or without retries.
BOOST_DATA_TEST_CASE(error_of_a_target_is_forwarded_when_retries_end, data::make({1, 2, 3, 4}),
                     requests) {
  plain_service_fixture fixture;
  fixture.set_fault(connection_fault::failed, 1'000'000);
  std::unique_ptr<fakes::recording_writer> response;
  for (int i = 0; i < requests; ++i)
    response = fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(response->status == 500);
  BOOST_TEST(response->body.starts_with("ran "));
}

// As many retries as the budget has at the start, so that each of them must count once.
BOOST_AUTO_TEST_CASE(retry_after_an_error_of_a_target_counts_once) {
  plain_service_fixture fixture;
  fixture.set_fault(connection_fault::failed, 1'000'000);
  fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(fixture.executions() == 3);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_budget_when_all_targets_fail) {
  plain_service_fixture fixture;
  constexpr std::size_t requests = 300;
  fixture.set_fault(connection_fault::broken_before_run, 1'000'000);
  std::size_t left_before = 0;
  for (auto& [id, engine] : fixture.fleet.engines())
    left_before += engine.faulty_connections;
  for (std::size_t i = 0; i < requests; ++i)
    fixture.call(0, fakes::plain_request("/title-cards/1"));
  std::size_t left_after = 0;
  for (auto& [id, engine] : fixture.fleet.engines())
    left_after += engine.faulty_connections;
  const double attempts_per_request = static_cast<double>(left_before - left_after) / requests;
  BOOST_TEST(attempts_per_request < 1.15);
}

BOOST_AUTO_TEST_CASE(server_error_is_retried_and_then_returned) {
  plain_service_fixture fixture;
  fixture.set_fault(connection_fault::server_error, 1'000'000);
  const auto response = fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(response->status == 500);
  BOOST_TEST(outcome_of(*response) == "");
  BOOST_TEST(response->body.starts_with("ran "));
  // Each retry takes one from the budget, which is 3 at first.
  BOOST_TEST(fixture.executions() == 3);
}

BOOST_DATA_TEST_CASE(server_error_is_returned_when_its_retries_get_no_response,
                     data::make({"p0", "p1", "p2"}), failing) {
  plain_service_fixture fixture;
  fixture.set_fault(connection_fault::refused, 1'000'000);
  fixture.fleet.engine(failing).next_connection = connection_fault::server_error;
  const auto response = fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(response->status == 500);
  BOOST_TEST(outcome_of(*response) == "");
  BOOST_TEST(response->body.starts_with("ran "));
}

BOOST_DATA_TEST_CASE(target_that_fails_every_request_is_avoided,
                     data::make({"/title-cards/1", "/orders/1"}), path) {
  plain_service_fixture fixture;
  fakes::fake_engine& failing = fixture.fleet.engine("p0");
  failing.next_connection = connection_fault::server_error;
  failing.faulty_connections = 1'000'000;
  for (std::size_t i = 0; i < 300; ++i)
    fixture.call(0, fakes::plain_request(path));
  // It is avoided for a second after three failures, and longer after each further one; the
  // 300 requests take 6 s.
  BOOST_TEST(failing.executed.size() <= 8);
}

BOOST_AUTO_TEST_CASE(unexpected_exception_gives_the_slot_back) {
  plain_service_fixture fixture;
  // More than the windows of the three targets.
  constexpr std::size_t exceptions = 100;
  fixture.set_fault(connection_fault::unexpected, 1'000'000);
  std::vector<fakes::recording_writer> writers(exceptions);
  for (fakes::recording_writer& writer : writers) {
    fixture.begin_call(0, fakes::plain_request("/title-cards/1"), writer);
    fixture.run_for(20ms);
  }
  fixture.set_fault(connection_fault::none, 0);
  const auto response = fixture.call(0, fakes::plain_request("/title-cards/1"));
  BOOST_TEST(response->status == 200);
}
