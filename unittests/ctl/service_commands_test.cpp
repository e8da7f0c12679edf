#include "camphorlug/support/virtual_clock.h"

#include "exit_code.h"
#include "fakes/scripted_client.h"
#include "service_commands.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

support::task<> run(ctl::service_commands& subject, std::vector<std::string> arguments,
                    std::optional<int>& code) {
  code = co_await subject.run(std::move(arguments));
}

struct ctl_fixture {
  void answer(int status, const std::string& body) {
    fakes::scripted_answer added;
    added.status = status;
    added.pieces = {body};
    client.answers["n0:2"].push_back(added);
  }

  /// Returns the exit code, or nothing if the command ended with an exception.
  std::optional<int> run_command(std::vector<std::string> arguments) {
    ctl::operator_client node(client, "n0:2", "key");
    ctl::service_commands subject(node, {false}, "edit-1");
    std::optional<int> code;
    support::spawn(context.get_executor(), "command", run(subject, std::move(arguments), code));
    clock.run_for(60s);
    clock.shut_down();
    return code;
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  fakes::scripted_client client{clock};
};

const std::string history = R"({"versions":[{"number":1,"text":"a"},{"number":2,"text":"b"}]})";

} // namespace

BOOST_DATA_TEST_CASE(rollback_to_what_is_no_version_number_is_an_invalid_command,
                     data::make({"abc", "-1", "", "1x", "99999999999999999999"}), number) {
  ctl_fixture fixture;
  const auto code = fixture.run_command({"rollback", "s", number});
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == ctl::exit_invalid);
  BOOST_TEST(fixture.client.received.empty());
}

BOOST_DATA_TEST_CASE(response_that_is_no_json_is_reported_as_no_response,
                     data::make({"list", "show", "history", "status"}), verb) {
  ctl_fixture fixture;
  fixture.answer(200, "<html>");
  std::vector<std::string> arguments{verb};
  if (arguments[0] != "list")
    arguments.push_back("s");
  const auto code = fixture.run_command(arguments);
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == ctl::exit_unreachable);
}

BOOST_AUTO_TEST_CASE(edit_that_is_refused_after_an_unknown_outcome_stays_unknown) {
  ctl_fixture fixture;
  fixture.answer(200, history);
  fixture.answer(504, "{}");
  fixture.answer(503, "{}");
  const auto code = fixture.run_command({"rollback", "s", "1"});
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == ctl::exit_unknown);
}

BOOST_AUTO_TEST_CASE(edit_that_is_refused_at_once_is_not_written) {
  ctl_fixture fixture;
  fixture.answer(200, history);
  fixture.answer(503, "{}");
  const auto code = fixture.run_command({"rollback", "s", "1"});
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == ctl::exit_refused);
}
