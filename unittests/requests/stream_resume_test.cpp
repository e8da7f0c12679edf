#include "camphorlug/requests/stream_position.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t tokens = 20;

struct resume_fixture : fakes::model_cluster {
  /// Resumes the stream at the other node.
  std::unique_ptr<fakes::recording_writer> resume(const std::string& last_id,
                                                  const std::string& key) {
    auto request = fakes::chat_request("tell me", tokens, true, key);
    request.headers.add("Last-Event-ID", last_id);
    return call(1, std::move(request));
  }
};

} // namespace

BOOST_DATA_TEST_CASE(caller_resumes_at_another_node, data::make({1, 2, 10, 19, 20}), pieces) {
  resume_fixture fixture;
  fakes::recording_writer first;
  first.pieces_until_disconnect = pieces;
  fixture.begin_call(0, fakes::chat_request("tell me", tokens), first);
  fixture.run_for(2s);
  const auto second = fixture.resume(first.last_id(), fakes::organisation_key);
  BOOST_TEST(second->status == 200);
  BOOST_TEST(first.text() + second->text() == fakes::expected_text("tell me", tokens));
}

BOOST_AUTO_TEST_CASE(caller_resumes_after_node_and_group_are_lost) {
  resume_fixture fixture;
  fakes::recording_writer first;
  first.pieces_until_disconnect = 7;
  fixture.begin_call(0, fakes::chat_request("tell me", tokens), first);
  fixture.run_for(2s);
  for (auto& [id, engine] : fixture.fleet.engines())
    engine.streams.clear();
  const auto second = fixture.resume(first.last_id(), fakes::organisation_key);
  BOOST_TEST(first.text() + second->text() == fakes::expected_text("tell me", tokens));
}

BOOST_AUTO_TEST_CASE(other_prompt_does_not_continue_the_stream) {
  resume_fixture fixture;
  fakes::recording_writer first;
  first.pieces_until_disconnect = 7;
  fixture.begin_call(0, fakes::chat_request("tell me", tokens), first);
  fixture.run_for(2s);
  for (auto& [id, engine] : fixture.fleet.engines())
    engine.streams.clear();
  auto request = fakes::chat_request("something else", tokens);
  request.headers.add("Last-Event-ID", first.last_id());
  const auto second = fixture.call(1, std::move(request));
  BOOST_TEST(second->status == 409);
  BOOST_TEST(second->text() == "");
}

BOOST_AUTO_TEST_CASE(foreign_and_forged_positions_are_refused) {
  resume_fixture fixture;
  const auto first = fixture.call(0, fakes::chat_request("tell me", tokens));
  const std::string id = first->last_id();
  BOOST_TEST(fixture.resume(id, fakes::other_key)->status == 403);
  std::string forged = id;
  forged[forged.find('.') + 1] ^= 1;
  BOOST_TEST(fixture.resume(forged, fakes::organisation_key)->status == 400);
  const requests::stream_position made{"one", "model", "g-1", "a", 3, "0"};
  BOOST_TEST(fixture.resume(requests::sign_position(made, "another key"), fakes::organisation_key)
                 ->status == 400);
}

// The connection breaks, and so do those that resume the stream or continue it elsewhere, until
// no retry is left. The engine that still generates it must keep it for the caller.
BOOST_AUTO_TEST_CASE(stream_is_kept_for_its_caller_when_no_failover_is_possible) {
  resume_fixture fixture;
  for (auto& [id, engine] : fixture.fleet.engines()) {
    engine.fault = fakes::stream_fault::cut;
    engine.fault_at = 5;
  }
  fakes::recording_writer first;
  fixture.begin_call(0, fakes::chat_request("tell me", tokens), first);
  fixture.run_for(30ms);
  for (auto& [id, engine] : fixture.fleet.engines()) {
    engine.next_connection = fakes::connection_fault::broken_before_run;
    engine.faulty_connections = 1000;
  }
  BOOST_REQUIRE(fixture.run_until([&first] { return first.finished; }, 10s));
  BOOST_REQUIRE(first.text() != fakes::expected_text("tell me", tokens));
  std::size_t executed = 0;
  for (auto& [id, engine] : fixture.fleet.engines()) {
    engine.faulty_connections = 0;
    executed += engine.executed.size();
  }
  const auto second = fixture.resume(first.last_id(), fakes::organisation_key);
  BOOST_TEST(first.text() + second->text() == fakes::expected_text("tell me", tokens));
  for (auto& [id, engine] : fixture.fleet.engines())
    executed -= engine.executed.size();
  // The rest came from the stream that the engine had begun.
  BOOST_TEST(executed == 0);
}

BOOST_AUTO_TEST_CASE(stream_continues_when_its_leader_fails) {
  resume_fixture fixture;
  fakes::recording_writer response;
  fixture.begin_call(0, fakes::chat_request("tell me", 400), response);
  fixture.run_for(500ms);
  for (auto& [id, engine] : fixture.fleet.engines()) {
    // Stop the leader that runs the stream.
    if (!engine.executed.empty())
      engine.alive = false;
  }
  BOOST_TEST(fixture.run_until([&response] { return response.finished; }, 60s));
  BOOST_TEST(response.text() == fakes::expected_text("tell me", 400));
}
