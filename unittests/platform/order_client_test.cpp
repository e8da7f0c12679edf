#include "platform_order_client.h"

#include "camphorlug/support/virtual_clock.h"

#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// An instance that answers nothing until `resumes_at`, and then everything.
class paused_instance final : public net::http_client {
public:
  explicit paused_instance(support::clock& time) : time_(time), client_(time) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override {
    fakes::scripted_answer answer;
    answer.refused = refuses;
    answer.connect_delay = std::min(connect_delay, request.connect_timeout);
    if (connect_delay > request.connect_timeout)
      request.send_if = [] { return false; };
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(resumes_at - time_.now());
    answer.delay = std::max(pause, 1ms);
    answer.pause = 1ms;
    answer.pieces = {"{}"};
    client_.answers[request.address].push_back(std::move(answer));
    return client_.open(std::move(request));
  }

  support::clock::time_point resumes_at;
  bool refuses = false;
  /// Time until a connection is established; attempts with less time fail to connect.
  std::chrono::milliseconds connect_delay{0};

private:
  support::clock& time_;
  fakes::scripted_client client_;
};

struct probe_fixture {
  ~probe_fixture() { clock.shut_down(); }

  /// Probes the instance and returns the result; `took` is the time until then.
  bool probe() {
    gateway::target_entry entry;
    entry.id = "one";
    entry.address = "one";
    const auto started_at = clock.now();
    std::optional<bool> result;
    const auto run = [&]() -> support::task<> {
      const bool answers = co_await prober.probe(entry);
      result = answers;
    };
    support::spawn(context.get_executor(), "probe", run());
    while (!result && clock.now() - started_at < 10s)
      clock.run_for(10ms);
    took = clock.now() - started_at;
    return result.value();
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  paused_instance instance{clock};
  platform::platform_order_client prober{instance};
  std::chrono::nanoseconds took{0};
};

/// Time of a silence after which the instance is probed: the stall detector reports the silence,
/// and the planner's next pass starts the probe.
constexpr auto silence_before_probe = 550ms;

} // namespace

BOOST_DATA_TEST_CASE(instance_that_pauses_for_about_a_second_answers_its_probe,
                     data::make({600, 1000, 1200}), silence) {
  probe_fixture fixture;
  fixture.instance.resumes_at =
      fixture.clock.now() + std::chrono::milliseconds(silence) - silence_before_probe;
  BOOST_TEST(fixture.probe());
}

BOOST_AUTO_TEST_CASE(probe_of_an_instance_that_refuses_connections_fails_at_once) {
  probe_fixture fixture;
  fixture.instance.refuses = true;
  BOOST_TEST(!fixture.probe());
  BOOST_TEST((fixture.took <= 20ms));
}

BOOST_AUTO_TEST_CASE(lost_host_that_accepts_no_connection_is_known_after_two_short_attempts) {
  probe_fixture fixture;
  fixture.instance.connect_delay = 1h;
  BOOST_TEST(!fixture.probe());
  BOOST_TEST((fixture.took <= 520ms));
}

BOOST_AUTO_TEST_CASE(probe_of_an_instance_that_never_answers_ends) {
  probe_fixture fixture;
  fixture.instance.resumes_at = fixture.clock.now() + 1h;
  BOOST_TEST(!fixture.probe());
  BOOST_TEST((fixture.took <= 1s));
}

namespace {

struct answer_of_process {
  const char* name;
  int status;
  const char* body;
  bool is_running;
};

std::ostream& operator<<(std::ostream& out, const answer_of_process& each) {
  return out << each.name;
}

const answer_of_process answers_of_processes[] = {
    {"report of this start", 200, R"({"born":7})", true},
    {"report of another start", 200, R"({"born":8})", false},
    {"report of a group that serves", 200,
     R"({"born":7,"group":{"name":"g","epoch":1,"rank":0,"state":"open"}})", true},
    {"report of another group", 200,
     R"({"born":7,"group":{"name":"h","epoch":2,"rank":0,"state":"open"}})", false},
    {"report of no group", 200, R"({"born":7,"models":[]})", false},
    {"report of a broken group", 200,
     R"({"born":7,"group":{"name":"g","epoch":1,"rank":0,"state":"broken"}})", false},
    {"report without a start", 200, "{}", true},
    {"unreadable report", 200, "{", true},
    {"no report", 404, "", true},
    {"not ready", 503, "", true},
    {"another instance", 421, "", false},
};

} // namespace

BOOST_DATA_TEST_CASE(process_is_known_by_its_id_and_start, data::make(answers_of_processes), each) {
  asio::io_context context;
  support::virtual_clock clock{context};
  fakes::scripted_client client{clock};
  fakes::scripted_answer answer;
  answer.status = each.status;
  answer.pieces = {each.body};
  client.answers["address"].push_back(answer);
  platform::platform_order_client prober{client};
  gateway::target_entry entry;
  entry.id = "one";
  entry.address = "address";
  entry.started_at_ms = 7;
  entry.membership = gateway::group_membership{"g", 1, 0, gateway::membership_state::open};
  std::optional<replicas::process_state> result;
  const auto run = [&]() -> support::task<> { result = co_await prober.ask_process(entry); };
  support::spawn(context.get_executor(), "question", run());
  clock.run_for(2s);
  const auto expected =
      each.is_running ? replicas::process_state::running : replicas::process_state::ended;
  BOOST_TEST((result == expected));
  BOOST_TEST(client.received.size() == 1);
  clock.shut_down();
}

BOOST_AUTO_TEST_CASE(process_that_pauses_for_a_second_is_known_to_run) {
  probe_fixture fixture;
  fixture.instance.resumes_at = fixture.clock.now() + 1300ms;
  std::optional<replicas::process_state> result;
  gateway::target_entry entry;
  entry.address = "one";
  const auto run = [&]() -> support::task<> {
    result = co_await fixture.prober.ask_process(entry);
  };
  support::spawn(fixture.context.get_executor(), "question", run());
  fixture.clock.run_for(2s);
  BOOST_TEST((result == replicas::process_state::running));
}
