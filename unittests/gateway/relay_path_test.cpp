#include "camphorlug/gateway/relay_path.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::gateway;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const std::vector<relay_parameters> valid = {
    {{"i-1", 17}, "127.0.0.1:80", "GET", net::connection_use::pooled, 4000ms, "/"},
    {{"i-2", 0}, "10.0.0.1:8040", "POST", net::connection_use::fresh, 1ms, "/a/b%2Fc/?q=/x&y=%20"},
    {{"i/4 %41?#", 5}, "10.0.0.1:8040", "GET", net::connection_use::pooled, 20ms, "/x"},
    {{"i-3", -1}, "10.0.0.1:8040", "PUT", net::connection_use::fresh, 20ms, "//double//slash"},
};

BOOST_AUTO_TEST_CASE(relay_path_keeps_all_parameters) {
  for (const relay_parameters& each : valid) {
    const auto read = parse_relay_path(to_relay_path(each));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->start == each.start));
    BOOST_TEST(read->address == each.address);
    BOOST_TEST(read->method == each.method);
    BOOST_TEST((read->connection == each.connection));
    BOOST_TEST((read->time_left == each.time_left));
    BOOST_TEST(read->target == each.target);
  }
}

static const std::vector<std::string> invalid = {
    "",
    "/camphorlug/v1/state",
    "/camphorlug/v1/relay/",
    "/camphorlug/v1/relay/a:1/i/1/GET/fresh/100",
    "/camphorlug/v1/relay/a:1/i/one/GET/fresh/100/x",
    "/camphorlug/v1/relay/a:1/i/1//fresh/100/x",
    "/camphorlug/v1/relay/a:1/i/1/GET/old/100/x",
    "/camphorlug/v1/relay/a:1/i/1/GET/fresh/0/x",
    "/camphorlug/v1/relay/a:1/i/1/GET/fresh/99999999999999999999/x",
};

BOOST_DATA_TEST_CASE(other_paths_are_no_requests_to_a_relay, data::make(invalid), each) {
  BOOST_TEST(!parse_relay_path(each).has_value());
}
