#include "camphorlug/gateway/active_config.h"
#include "camphorlug/gateway/routing_config.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::gateway;
namespace data = boost::unit_test::data;

namespace {

struct lookup {
  const char* host;
  const char* path;
  const char* found;
};

std::ostream& operator<<(std::ostream& out, const lookup& each) {
  return out << each.host << each.path;
}

const lookup lookups[] = {
    {"one.example", "/a/x", "short"},
    {"one.example", "/a/b/x", "long"},
    {"one.example", "/a/b/", "long"},
    {"one.example", "/a/b", "short"},
    {"ONE.example:8080", "/a/b/c", "long"},
    {"one.example", "/ab/x", ""},
    {"two.example", "/a/x", "other"},
    {"three.example", "/a/x", ""},
    {"one.example", "", ""},
    {"one.example", "/", ""},
};

route make_route(const char* name, const char* host, const char* prefix) {
  route made;
  made.name = name;
  made.host = host;
  made.path_prefix = prefix;
  made.services = {{"service", 1}};
  return made;
}

} // namespace

BOOST_DATA_TEST_CASE(longest_prefix_of_the_host_wins, data::make(lookups), each) {
  routing_config config;
  config.add_route(make_route("short", "one.example", "/a/"));
  config.add_route(make_route("long", "one.example", "/a/b/"));
  config.add_route(make_route("other", "two.example", "/a/"));
  const auto found = config.find_route(each.host, each.path);
  BOOST_TEST((found ? found->name : "") == each.found);
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored) {
  asio::io_context context;
  support::virtual_clock clock(context);
  active_config active(clock);
  const auto update = [&](std::uint64_t version) {
    auto config = std::make_shared<routing_config>();
    config->version = version;
    return active.update_if_newer(config);
  };
  BOOST_TEST(update(3));
  BOOST_TEST(!update(2));
  BOOST_TEST(!update(3));
  BOOST_TEST(update(7));
  BOOST_TEST(active.current()->version == 7);
}
