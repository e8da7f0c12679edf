#include "fakes/edge_cluster.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// Callers of a node without a configuration are told to return after this time.
static constexpr auto time_until_return = 500ms;

BOOST_DATA_TEST_CASE(callers_are_served_at_their_first_return_after_all_nodes_lost_power,
                     data::make({6, 26, 71}), nodes) {
  fakes::edge_cluster fleet(static_cast<std::size_t>(nodes));
  fleet.set_config(7);
  fleet.add_target("t1");
  fleet.run_for(5s);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.kill(i);
  fleet.run_for(1s);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i)
    fleet.start(i);
  fleet.run_for(time_until_return);
  for (std::size_t i = 0; i < fleet.edges.size(); ++i) {
    const nlohmann::ordered_json state = fleet.state(i);
    BOOST_TEST(state["config"]["version"] == 7, "node " << i);
    BOOST_TEST(state["targets"].dump().find("t1") != std::string::npos, "node " << i);
  }
}
