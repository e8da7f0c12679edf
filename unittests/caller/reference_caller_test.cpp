#include "camphorlug/caller/reference_caller.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/scripted_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

support::task<> send(caller::reference_caller& subject, caller::caller_request request,
                     std::optional<caller::caller_result>& result) {
  result = co_await subject.send(std::move(request));
}

struct caller_fixture {
  /// Returns the result of a request that is refused with this Retry-After, or nothing if it
  /// ended with an exception.
  std::optional<caller::caller_result> refuse_with(const std::string& retry_after) {
    fakes::scripted_answer entries;
    entries.pieces = {R"({"entries":[{"address":"n0:1"}],"valid_for_ms":5000})"};
    fakes::scripted_answer refusal;
    refusal.status = 429;
    refusal.headers.add("Retry-After", retry_after);
    client.answers["n0:1"] = {entries, refusal};
    caller::entry_cache cache(client, clock, {"n0:1"}, "");
    caller::reference_caller subject(client, clock, cache);
    std::optional<caller::caller_result> result;
    support::spawn(context.get_executor(), "send", send(subject, {}, result));
    clock.run_for(1s);
    clock.shut_down();
    return result;
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  fakes::scripted_client client{clock};
};

struct retry_after_row {
  const char* value;
  std::chrono::seconds expected;
};

std::ostream& operator<<(std::ostream& out, const retry_after_row& row) {
  return out << '"' << row.value << '"';
}

const retry_after_row retry_after_rows[] = {
    {"7", 7s},    {"0", 0s},
    {"", 0s},     {"Thu, 01 Jan 1970 00:00:00 GMT", 0s},
    {"-3", 0s},   {"99999999999999999999", 0s},
    {"soon", 0s},
};

std::string http_date(std::chrono::system_clock::time_point moment) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(moment);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return text;
}

} // namespace

BOOST_DATA_TEST_CASE(retry_after_is_read_without_an_exception, data::make(retry_after_rows), row) {
  caller_fixture fixture;
  const auto result = fixture.refuse_with(row.value);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->status == 429);
  BOOST_TEST(result->retry_after.count() == row.expected.count());
}

BOOST_AUTO_TEST_CASE(retry_after_may_be_a_date) {
  caller_fixture fixture;
  const auto result = fixture.refuse_with(http_date(fixture.clock.wall_time() + 90s));
  BOOST_REQUIRE(result.has_value());
  // The response arrives some milliseconds later, and the date has whole seconds.
  BOOST_TEST(result->retry_after.count() >= 89);
  BOOST_TEST(result->retry_after.count() <= 90);
}
