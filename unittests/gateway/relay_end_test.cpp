#include "camphorlug/gateway/request_relay.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Guards against ORDER: a relay ends a response as complete although its target's process has
// ended.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* target = "one";
/// Of the node that relays.
constexpr const char* peer = "peer";
const std::string confirms_end(gateway::relay_confirms_end_header);

struct relayed_end {
  const char* name;
  net::body_framing framing;
  bool target_has_ended;
  bool is_complete;
};

std::ostream& operator<<(std::ostream& out, const relayed_end& each) {
  return out << each.name;
}

const relayed_end relayed_ends[] = {
    {"chunks", net::body_framing::chunks, false, true},
    {"chunks, the target ends after them", net::body_framing::chunks, true, true},
    {"length", net::body_framing::length, true, true},
    {"closed by the target", net::body_framing::connection_close, false, true},
    {"closed as the target's process ends", net::body_framing::connection_close, true, false},
};

gateway::relay_parameters make_parameters() {
  return {{target, 0}, target, "POST", net::connection_use::pooled, 2s, "/stream/x"};
}

/// A gateway that has lost its way to the targets and uses a relay.
struct relayed_gateway : gateway_fixture {
  relayed_gateway() {
    relays.push_back({peer, 1, {}});
    add_target(target);
    paths.record_failure("shop", target);
    paths.record_failure("shop", "another");
  }
};

} // namespace

BOOST_DATA_TEST_CASE(relay_ends_a_response_only_if_its_target_has, data::make(relayed_ends), each) {
  gateway_fixture world;
  world.add_target(target);
  gateway::request_relay relay(world.clock, world.client, world.protocol, world.registry,
                               world.queue, world.paths, 1, world.memory, world.liveness);
  scripted_answer script = events(1, 3);
  script.framing = each.framing;
  script.headers.add(confirms_end, "from the target");
  world.answer(target, script);
  if (each.target_has_ended)
    world.liveness.ended.insert(target);
  net::server_request request;
  request.method = "POST";
  request.target = gateway::to_relay_path(make_parameters());
  request.headers.add("Id", "r1");
  recording_writer writer;
  support::spawn(world.context.get_executor(), "relay", relay.handle(std::move(request), writer));
  world.clock.run_for(1s);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.finished == each.is_complete);
  BOOST_TEST(writer.aborted == !each.is_complete);
  BOOST_TEST(writer.headers.find(confirms_end).value_or("") == "1");
}

BOOST_DATA_TEST_CASE(relay_that_cannot_tell_the_end_of_a_target_is_recognised,
                     data::make({false, true}), relay_confirms) {
  relayed_gateway world;
  scripted_answer script = events(1, 3);
  if (relay_confirms)
    script.headers.add(confirms_end, "1");
  world.answer(peer, script);
  net::client_request request;
  request.address = target;
  request.connection = net::connection_use::pooled;
  const auto exchange = world.sender.open("shop", {target, target, 1, 0, 0}, std::move(request));
  std::optional<net::response_head> head;
  const auto wait = [&]() -> support::task<> { head = co_await exchange->head(1s); };
  support::spawn(world.context.get_executor(), "head", wait());
  world.clock.run_for(1s);
  BOOST_REQUIRE(head);
  BOOST_TEST(exchange->relay_confirms_end() == relay_confirms);
  BOOST_TEST(!head->headers.find(confirms_end));
  BOOST_TEST(head->headers.find("Id").value_or("") == "r1");
}

BOOST_AUTO_TEST_CASE(stream_is_not_ended_by_a_relay_that_cannot_tell_the_end_of_a_target) {
  relayed_gateway world;
  world.answer(peer, events(1, 3));
  scripted_answer rest = events(4, 6);
  rest.headers.add(confirms_end, "1");
  world.answer(peer, rest);
  world.liveness.ended.insert(target);
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two");
  world.clock.run_for(5s);
  BOOST_TEST(writer.finished);
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(world.liveness.questions == 1);
  BOOST_TEST(!writer.headers.find(confirms_end));
}
