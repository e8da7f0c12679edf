#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

// Guards against REFUSED: a caller is told that its request did not run although a target may have
// run it.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Statuses that callers read as "not run".
constexpr std::array not_run_statuses{408, 429, 503};
constexpr const char* paths[] = {"/plain/x", "/once/x", "/stream/x", "/cut/x", "/single/x"};
/// Of another node that relays requests.
constexpr const char* peer = "peer";

scripted_answer failure(int status) {
  scripted_answer script = complete_answer(status);
  script.headers.add("Retry-After", "1");
  return script;
}

} // namespace

BOOST_DATA_TEST_CASE(status_without_a_statement_is_not_passed_on_as_a_refusal,
                     data::make(not_run_statuses) * data::make(paths), status, path) {
  gateway_fixture world;
  // More failures than the request has attempts.
  for (const char* target : {"one", "two", "three", "four"}) {
    world.add_target(target);
    world.answer(target, failure(status));
  }
  const auto writer = world.call(path);
  BOOST_TEST(writer->status == 502);
  BOOST_TEST(writer->body != "whole body");
  BOOST_TEST(!writer->headers.find("Retry-After"));
}

BOOST_DATA_TEST_CASE(status_without_a_statement_leads_to_a_retry_of_a_repeatable_request,
                     data::make(not_run_statuses), status) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", failure(status));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", complete_answer());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == "whole body");
}

BOOST_DATA_TEST_CASE(statement_of_a_target_is_passed_on_as_a_refusal, data::make(not_run_statuses),
                     status) {
  gateway_fixture world;
  world.add_target("one");
  scripted_answer script = refusal();
  script.status = status;
  world.answer("one", script);
  BOOST_TEST(world.call("/once/x")->status == 503);
}

// A refusal after a run that may have begun is no refusal of the request.
BOOST_DATA_TEST_CASE(refusal_after_a_failed_run_is_not_passed_on, data::make(not_run_statuses),
                     status) {
  gateway_fixture world;
  world.add_target("one");
  world.answer("one", failure(status));
  recording_writer writer;
  world.begin("/plain/x", writer);
  world.add_target("two");
  world.answer("two", refusal());
  world.clock.run_for(5s);
  BOOST_TEST(writer.status == 502);
}

BOOST_DATA_TEST_CASE(relayed_status_without_a_statement_is_not_passed_on_as_a_refusal,
                     data::make(not_run_statuses) * data::make({"/once/x", "/cut/x"}), status,
                     path) {
  gateway_fixture world;
  world.relays.push_back({peer, 1, {}});
  world.add_target("one");
  world.paths.record_failure("shop", "one");
  world.paths.record_failure("shop", "another");
  world.answer(peer, failure(status));
  BOOST_TEST(world.call(path)->status == 502);
  BOOST_TEST(world.client.received.size() == 1);
}
