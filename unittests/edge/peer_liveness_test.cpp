#include "camphorlug/edge/assisted_prober.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Guards against ORDER: a node that reaches no target believes the end of a response because
// another node finds that the target has started again.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::int64_t old_start = 7;
constexpr std::int64_t new_start = 8;

/// Reaches an instance that has started again.
class restarted_instance final : public replicas::instance_prober {
public:
  support::task<bool> probe(gateway::target_entry) override { co_return true; }
  support::task<replicas::process_state> ask_process(gateway::target_entry entry) override {
    co_return entry.started_at_ms == new_start ? replicas::process_state::running
                                               : replicas::process_state::ended;
  }
  support::task<replicas::report_result> report(gateway::target_entry) override {
    co_return replicas::report_result{};
  }
};

struct question {
  const char* query;
  int status;
};

std::ostream& operator<<(std::ostream& out, const question& each) {
  return out << each.query;
}

const question questions[] = {
    {"", 200}, {"start=8", 200}, {"start=7", 404}, {"start=", 404}, {"start=8x", 404},
};

struct prober_fixture : gateway_fixture {
  restarted_instance instance;
  edge::assisted_prober prober{clock, client, instance, paths, sender};
};

} // namespace

BOOST_DATA_TEST_CASE(peer_answers_for_the_process_that_is_asked_for, data::make(questions), each) {
  prober_fixture world;
  world.add_target("one");
  net::server_request request;
  request.path = edge::probe_prefix;
  request.path += "one";
  request.query = each.query;
  recording_writer writer;
  support::spawn(world.context.get_executor(), "probe",
                 world.prober.handle(std::move(request), world.registry, writer));
  world.clock.run_for(1s);
  BOOST_TEST(writer.status == each.status);
}

BOOST_AUTO_TEST_CASE(node_that_reaches_no_target_names_the_process) {
  prober_fixture world;
  world.relays.push_back({"peer", 1, {}});
  world.paths.record_failure("shop", "one");
  world.paths.record_failure("shop", "another");
  scripted_answer no;
  no.status = 404;
  world.answer("peer", no);
  gateway::target_entry entry;
  entry.id = "one";
  entry.service = "shop";
  entry.started_at_ms = old_start;
  std::optional<replicas::process_state> result;
  const auto run = [&]() -> support::task<> { result = co_await world.prober.ask_process(entry); };
  support::spawn(world.context.get_executor(), "question", run());
  world.clock.run_for(2s);
  BOOST_REQUIRE(world.client.received.size() == 1);
  std::string expected(edge::probe_prefix);
  expected += "one?start=7";
  BOOST_TEST(world.client.received[0].target == expected);
  BOOST_TEST((result == replicas::process_state::ended));
}
