#include "camphorlug/gateway/request_identity.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug::gateway;
namespace data = boost::unit_test::data;

namespace {

struct identity_case {
  const char* name;
  void (*change)(caller_request& request, std::string& organisation);
  bool is_equal;
};

std::ostream& operator<<(std::ostream& out, const identity_case& each) {
  return out << each.name;
}

const std::vector<identity_case> cases = {
    {"the same request", [](caller_request&, std::string&) {}, true},
    {"another attempt",
     [](caller_request& request, std::string&) {
       request.id = "r2";
       request.resume_after = 3;
       request.forwarded_headers.add("Trace", "2");
     },
     true},
    {"another organisation", [](caller_request&, std::string& name) { name = "south"; }, false},
    {"another method", [](caller_request& request, std::string&) { request.method = "PUT"; },
     false},
    {"another query",
     [](caller_request& request, std::string&) { request.request_target = "/read/x?page=2"; },
     false},
    {"another body", [](caller_request& request, std::string&) { request.body = "y"; }, false},
    {"fields that run together",
     [](caller_request& request, std::string& name) {
       request.body = "";
       name = "xnorth";
     },
     false},
};

caller_request make_request() {
  caller_request request;
  request.method = "POST";
  request.request_target = "/read/x";
  request.body = "x";
  request.id = "r1";
  return request;
}

} // namespace

BOOST_DATA_TEST_CASE(requests_of_one_organisation_are_equal_by_content, data::make(cases), each) {
  caller_request changed = make_request();
  std::string organisation = "north";
  each.change(changed, organisation);
  const bool is_equal =
      request_identity(changed, organisation) == request_identity(make_request(), "north");
  BOOST_TEST(is_equal == each.is_equal);
}

BOOST_AUTO_TEST_CASE(prompt_part_cannot_accuse_another_request) {
  caller_request request = make_request();
  request.prompt_parts = {"system", request_identity(make_request(), "south")};
  const auto suspects = crash_suspects_of(request, "north");
  BOOST_REQUIRE(suspects.size() == 2);
  BOOST_TEST(suspects[0] == "system");
  BOOST_TEST(suspects[1] == request_identity(request, "north"));
}
