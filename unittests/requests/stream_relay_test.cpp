#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::stream_fault;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t tokens = 12;

struct stream_fixture : fakes::model_cluster {
  /// Sets the fault at every engine, so that it applies to whichever group gets the
  /// request.
  void set_fault(stream_fault fault, std::size_t at, bool forgets) {
    for (auto& [id, engine] : fleet.engines()) {
      engine.fault = fault;
      engine.fault_at = at;
      engine.drops_streams_on_disconnect = forgets;
    }
  }
};

const stream_fault faults[] = {stream_fault::cut, stream_fault::stall, stream_fault::crossed,
                               stream_fault::repeated, stream_fault::gap};
const std::size_t fault_positions[] = {0, 1, tokens / 2, tokens - 1, tokens};

} // namespace

namespace camphorlug::fakes {
std::ostream& operator<<(std::ostream& out, stream_fault fault) {
  return out << static_cast<int>(fault);
}
} // namespace camphorlug::fakes

BOOST_DATA_TEST_CASE(stream_text_is_unaffected_by_connection_faults,
                     data::make(faults) * data::make(fault_positions) * data::make({false, true}),
                     fault, position, forgets) {
  stream_fixture fixture;
  fixture.set_fault(fault, position, forgets);
  const auto response = fixture.call(0, fakes::chat_request("tell me", tokens));
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->text() == fakes::expected_text("tell me", tokens));
  BOOST_TEST(response->body.ends_with("data: [DONE]\n\n"));
}

BOOST_DATA_TEST_CASE(buffered_response_survives_a_broken_connection, data::make(fault_positions),
                     position) {
  stream_fixture fixture;
  fixture.set_fault(stream_fault::cut, position, true);
  const auto response = fixture.call(0, fakes::chat_request("tell me", tokens, false));
  BOOST_TEST(response->status == 200);
  const auto body = nlohmann::json::parse(response->body);
  BOOST_TEST(body["choices"][0]["message"]["content"].get<std::string>() ==
             fakes::expected_text("tell me", tokens));
}

BOOST_AUTO_TEST_CASE(unexpected_exception_in_a_stream_gives_the_slot_back) {
  stream_fixture fixture;
  // More than the windows of the two groups.
  constexpr std::size_t exceptions = 100;
  const auto set_connection_fault = [&](fakes::connection_fault fault, std::size_t connections) {
    for (auto& [id, engine] : fixture.fleet.engines()) {
      engine.next_connection = fault;
      engine.faulty_connections = connections;
    }
  };
  set_connection_fault(fakes::connection_fault::unexpected, 1'000'000);
  std::vector<fakes::recording_writer> writers(exceptions);
  for (fakes::recording_writer& writer : writers) {
    fixture.begin_call(0, fakes::chat_request("tell me", tokens), writer);
    fixture.run_for(20ms);
  }
  set_connection_fault(fakes::connection_fault::none, 0);
  const auto response = fixture.call(0, fakes::chat_request("tell me", tokens));
  BOOST_TEST(response->status == 200);
}

namespace {

/// Returns the sum of a counter's values in the node's metrics.
double counter_sum(fakes::simulated_cluster& cluster, const std::string& name) {
  fakes::recording_writer writer;
  net::server_request request;
  request.method = "GET";
  request.path = "/metrics";
  support::spawn(cluster.context.get_executor(), "metrics",
                 cluster.nodes[0].node->handle_operator(std::move(request), writer));
  cluster.run_for(10ms);
  double sum = 0;
  std::istringstream lines(writer.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + "{"))
      sum += std::stod(line.substr(line.rfind(' ')));
  }
  return sum;
}

struct resumption_row {
  fakes::connection_fault fault;
  std::size_t connections;
};

std::ostream& operator<<(std::ostream& out, const resumption_row& row) {
  return out << static_cast<int>(row.fault) << "x" << row.connections;
}

const resumption_row resumption_rows[] = {
    {fakes::connection_fault::none, 0},
    {fakes::connection_fault::declared_not_run, 1},
    {fakes::connection_fault::declared_not_run, 1'000'000},
    {fakes::connection_fault::broken_after_run, 1},
    {fakes::connection_fault::broken_after_run, 1'000'000},
};

} // namespace

BOOST_DATA_TEST_CASE(only_connections_that_follow_another_count_as_resumed,
                     data::make(resumption_rows), row) {
  stream_fixture fixture;
  for (auto& [id, engine] : fixture.fleet.engines()) {
    engine.next_connection = row.fault;
    engine.faulty_connections = row.connections;
  }
  fixture.call(0, fakes::chat_request("tell me", tokens));
  const double attempts = counter_sum(fixture, "camphorlug_attempts_total");
  BOOST_TEST(attempts >= 1);
  BOOST_TEST(counter_sum(fixture, "camphorlug_streams_resumed_total") == attempts - 1);
}

BOOST_DATA_TEST_CASE(role_that_is_no_text_is_left_to_the_engine,
                     data::make({"1", "null", "[]", "{}"}), role) {
  stream_fixture fixture;
  auto request = fakes::chat_request("tell me", tokens);
  request.body =
      "{\"messages\":[{\"role\":" + std::string(role) + ",\"content\":\"x\"}],\"stream\":true}";
  const auto response = fixture.call(0, std::move(request));
  BOOST_TEST(response->status == 200);
}
