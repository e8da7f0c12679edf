#include "platform_caller_protocol.h"

#include "camphorlug/support/digest.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const platform::platform_caller_protocol protocol;

net::server_request received_request() {
  net::server_request request;
  request.method = "PUT";
  request.target = "/a//b/../c?x=%20&y";
  request.path = "/a//b/../c";
  request.body = "bytes";
  for (const auto& [name, value] : std::initializer_list<std::pair<const char*, const char*>>{
           {"Host", "h.example"},
           {"X-Request-Id", "id1"},
           {"X-Deadline-Ms", "800"},
           {"X-Model", "m"},
           {"X-Token-Counts", "10,20"},
           {"X-Tenant", "forged"},
           {"X-Expect-Instance", "forged"},
           {"Last-Event-Id", "12"},
           {"Authorization", "Bearer secret"},
           {"Connection", "keep-alive, X-Hop"},
           {"X-Hop", "1"},
           {"Keep-Alive", "5"},
           {"Transfer-Encoding", "chunked"},
           {"X-Empty", ""},
           {"X-Own", "kept"}})
    request.headers.add(name, value);
  return request;
}

net::response_head head_of(int status,
                           std::initializer_list<std::pair<const char*, const char*>> headers) {
  net::response_head head;
  head.status = status;
  for (const auto& [name, value] : headers)
    head.headers.add(name, value);
  return head;
}

struct head_case {
  const char* name;
  net::response_head head;
  bool valid;
  bool not_run;
  bool wrong_instance;
};

std::ostream& operator<<(std::ostream& out, const head_case& each) {
  return out << each.name;
}

const std::vector<head_case> head_cases = {
    {"complete", head_of(200, {{"X-Request-Id", "id1"}, {"X-Response-Seal", "s"}}), true, false,
     false},
    {"id of another response", head_of(200, {{"X-Request-Id", "id2"}, {"X-Response-Seal", "s"}}),
     false, false, false},
    {"without an id", head_of(200, {{"X-Response-Seal", "s"}}), false, false, false},
    {"without a seal", head_of(200, {{"X-Request-Id", "id1"}}), false, false, false},
    {"encoded",
     head_of(200,
             {{"X-Request-Id", "id1"}, {"X-Response-Seal", "s"}, {"Content-Encoding", "gzip"}}),
     false, false, false},
    {"failed", head_of(500, {{"X-Request-Id", "id1"}, {"X-Response-Seal", "s"}}), true, false,
     false},
    {"refused", head_of(503, {{"X-Not-Run", "1"}}), true, true, false},
    {"503 without X-Not-Run", head_of(503, {{"X-Request-Id", "id1"}}), true, false, false},
    {"another instance", head_of(421, {{"X-Instance-Id", "i2"}}), true, false, true},
    {"no id was sent", head_of(400, {{"X-Request-Id", "id1"}, {"X-Not-Run", "1"}}), true, false,
     false},
};

} // namespace

BOOST_AUTO_TEST_CASE(forwarded_request_preserves_all_but_gateway_headers) {
  const gateway::caller_request request = protocol.parse_request(received_request());
  BOOST_TEST(request.host == "h.example");
  BOOST_TEST(request.id == "id1");
  BOOST_TEST(request.model == "m");
  BOOST_TEST(request.key.value_or("") == "secret");
  BOOST_TEST((request.time_limit == 800ms));
  BOOST_TEST(request.resume_after.value_or(0) == 12);
  gateway::send_attempt details;
  details.target_id = "i-1";
  details.address = "10.0.0.1:1";
  details.time_left = 640ms;
  details.organisation = "org";
  details.resume_after = 15;
  const net::client_request forwarded = protocol.build_target_request(request, details);
  BOOST_TEST(forwarded.method == "PUT");
  BOOST_TEST(forwarded.target == "/a//b/../c?x=%20&y");
  BOOST_TEST(forwarded.body == "bytes");
  std::string headers;
  for (const net::header& each : forwarded.headers)
    headers += each.name + "=" + each.value + ";";
  BOOST_TEST(headers == "Host=h.example;X-Request-Id=id1;X-Model=m;X-Token-Counts=10,20;X-Empty=;"
                        "X-Own=kept;X-Deadline-Ms=640;X-Expect-Instance=i-1;X-Tenant=org;"
                        "Last-Event-Id=15;");
}

BOOST_AUTO_TEST_CASE(forged_organisation_is_dropped_without_keys) {
  const gateway::caller_request request = protocol.parse_request(received_request());
  const net::client_request forwarded = protocol.build_target_request(request, {});
  BOOST_TEST(!forwarded.headers.find("X-Tenant"));
  BOOST_TEST(!forwarded.headers.find("Authorization"));
  BOOST_TEST(!forwarded.headers.find("Last-Event-Id"));
}

BOOST_DATA_TEST_CASE(response_heads_are_classified, data::make(head_cases), each) {
  gateway::caller_request request;
  request.id = "id1";
  const gateway::target_response response = protocol.parse_response_head(request, each.head);
  BOOST_TEST(response.valid == each.valid);
  BOOST_TEST(response.not_run == each.not_run);
  BOOST_TEST(response.wrong_instance == each.wrong_instance);
}

namespace {

struct notice_case {
  const char* description;
  net::response_head head;
  bool leaving;
};

std::ostream& operator<<(std::ostream& out, const notice_case& each) {
  return out << each.description;
}

const std::vector<notice_case> notice_cases = {
    {"nothing said", head_of(200, {{"X-Request-Id", "id1"}, {"X-Response-Seal", "s"}}), false},
    {"leaving",
     head_of(200, {{"X-Request-Id", "id1"}, {"X-Response-Seal", "s"}, {"Server-Leaving", "1"}}),
     true},
    {"leaving in a refusal", head_of(503, {{"X-Not-Run", "1"}, {"server-leaving", "1"}}), true},
    {"leaving in a response to another request",
     head_of(200, {{"X-Request-Id", "id2"}, {"Server-Leaving", "1"}}), true},
    {"another value", head_of(200, {{"X-Request-Id", "id1"}, {"Server-Leaving", "0"}}), false},
};

} // namespace

BOOST_DATA_TEST_CASE(notices_of_targets_are_decoded, data::make(notice_cases), each) {
  gateway::caller_request request;
  request.id = "id1";
  const gateway::target_response response = protocol.parse_response_head(request, each.head);
  BOOST_TEST(response.notice.leaving == each.leaving);
}

namespace {

struct cold_case {
  const char* text;
  std::optional<std::chrono::milliseconds> expected;
};

std::ostream& operator<<(std::ostream& out, const cold_case& each) {
  return out << (each.text ? each.text : "no header");
}

const std::vector<cold_case> cold_cases = {
    {nullptr, std::nullopt},
    {"2500", 2500ms},
    {"0.4", 1ms},
    {"0", std::nullopt},
    {"-5", std::nullopt},
    {"soon", std::nullopt},
    {"", std::nullopt},
    {"12 s", std::nullopt},
    {"nan", std::nullopt},
    {"99999999999999999999999", 24h},
};

} // namespace

BOOST_DATA_TEST_CASE(cold_targets_say_for_how_long,
                     data::make({200, 503, 421}) * data::make(cold_cases), status, each) {
  gateway::caller_request request;
  request.id = "id1";
  net::response_head head = head_of(status, {{"X-Request-Id", "id1"}});
  if (each.text)
    head.headers.add("X-Cold-Ms", each.text);
  const auto response = protocol.parse_response_head(request, head);
  BOOST_TEST((response.notice.cold_remaining == each.expected));
}

namespace {

struct wait_case {
  int status;
  const char* text;
  std::optional<std::chrono::milliseconds> expected;
};

std::ostream& operator<<(std::ostream& out, const wait_case& each) {
  return out << each.status << " " << each.text;
}

const std::vector<wait_case> wait_cases = {
    {503, "2", 2s},
    {503, "0.75", 750ms},
    {503, "3600", 3600s},
    {503, "1000000000000", 24h},
    {503, "99999999999999999999999", 24h},
    {503, "0", std::nullopt},
    {503, "-3", std::nullopt},
    {503, "soon", std::nullopt},
    {503, "nan", std::nullopt},
    {503, "inf", std::nullopt},
    {503, "2 s", std::nullopt},
    {503, "", std::nullopt},
    {503, "Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt},
    {200, "2", std::nullopt},
    {429, "2", std::nullopt},
};

} // namespace

BOOST_DATA_TEST_CASE(waits_of_targets_are_decoded, data::make(wait_cases), each) {
  gateway::caller_request request;
  request.id = "id1";
  const net::response_head head = head_of(
      each.status, {{"X-Request-Id", "id1"}, {"X-Not-Run", "1"}, {"Retry-After", each.text}});
  const gateway::target_response response = protocol.parse_response_head(request, head);
  BOOST_TEST((response.notice.retry_after == each.expected));
}

BOOST_AUTO_TEST_CASE(retry_after_has_millisecond_precision) {
  const net::header_list headers = protocol.local_response_headers({}, 250ms);
  BOOST_TEST(headers.find("Retry-After").value_or("") == "0.250");
  BOOST_TEST(!protocol.local_response_headers({}, std::nullopt).find("Retry-After"));
}

namespace {

struct prompt_case {
  std::string header;
  std::vector<std::string> parts;
};

std::ostream& operator<<(std::ostream& out, const prompt_case& each) {
  return out << each.header;
}

const std::string many_parts =
    "a:1,b:1,c:1,d:1,e:1,f:1,g:1,h:1,i:1,j:1,k:1,l:1,m:1,n:1,o:1,p:1,q:1,r:1,s:1,t:1";
const std::string long_id(80, 'x');

const std::vector<prompt_case> prompt_cases = {
    {"", {}},
    {"a1:40", {}},
    {"a1:40,b2:7", {"a1"}},
    {"a1:40,b2:7, c3:1,d4:9", {"a1", "b2", "c3"}},
    {"a1,b2", {"a1"}},
    {":40,,b2:7,c3:1", {"b2"}},
    // Guards against BUDGET: a deadly part beyond the 16th, or with a long id, is not known.
    {many_parts,
     {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r",
      "s"}},
    {"a1:40," + long_id + ":7,c3:1", {"a1", "sha256:" + support::sha256_hex(long_id)}},
};

} // namespace

BOOST_DATA_TEST_CASE(prompt_parts_are_read_without_the_last, data::make(prompt_cases), each) {
  net::server_request request = received_request();
  request.headers.add("X-Prefix-Hash", each.header);
  const gateway::caller_request read = protocol.parse_request(std::move(request));
  BOOST_TEST(read.prompt_parts == each.parts, boost::test_tools::per_element());
}

namespace {

struct limit_case {
  const char* text;
  std::optional<double> expected;
};

std::ostream& operator<<(std::ostream& out, const limit_case& each) {
  return out << each.text;
}

const std::vector<limit_case> limit_cases = {
    {"2.5", 2.5},
    {"40", 40.0},
    {"0", 0.0},
    {"0.05", 0.05},
    {"", std::nullopt},
    {"-1", std::nullopt},
    {"many", std::nullopt},
    {"2.5/s", std::nullopt},
    {"inf", std::nullopt},
    {"nan", std::nullopt},
};

} // namespace

BOOST_DATA_TEST_CASE(request_limits_of_targets_are_decoded, data::make(limit_cases), each) {
  gateway::caller_request request;
  request.id = "id1";
  const auto response =
      protocol.parse_response_head(request, head_of(200, {{"Server-Limit", each.text}}));
  BOOST_TEST((response.notice.request_limit == each.expected));
  BOOST_TEST(!protocol.parse_response_head(request, head_of(200, {})).notice.request_limit);
}
