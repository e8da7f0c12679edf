#include "fakes/edge_cluster.h"

#include "camphorlug/gateway/fleet_exchange.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

// Guards against a request whose bytes are no UTF-8 and that ends its node's exchange with the
// others.
BOOST_DATA_TEST_CASE(model_that_is_no_utf_8_leaves_the_fleet_whole, data::make({2, 6}), nodes) {
  edge_cluster world(static_cast<std::size_t>(nodes));
  world.set_config_with_engines(1, 2);
  world.run_for(5s);
  const auto exchanges_within = [&](std::chrono::seconds span) {
    const std::size_t before = world.network.requests[gateway::fleet_path];
    world.run_for(span);
    return world.network.requests[gateway::fleet_path] - before;
  };
  const std::size_t usual = exchanges_within(10s);
  const auto writer = world.call(0, "/engines/x", "\xff\xfe");
  BOOST_TEST(writer->status == 503);
  BOOST_TEST(exchanges_within(10s) >= usual * 9 / 10);
  for (std::size_t node = 0; node < world.edges.size(); ++node)
    BOOST_TEST(world.entries(node, "east").size() + world.entries(node, "west").size() > 0);
  for (std::size_t node = 0; node < world.edges.size(); ++node)
    BOOST_TEST(world.edges[node]->node->metrics().find(
                   "value=\"live_peers\"} " + std::to_string(nodes - 1)) != std::string::npos);
}
