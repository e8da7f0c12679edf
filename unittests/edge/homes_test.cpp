#include "fakes/tainted_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

using names = std::set<std::string>;

/// Six nodes in three data centres, each in a region of its own, before targets in all of them.
struct regional_fleet : fakes::tainted_fleet {
  regional_fleet() : tainted_fleet(0, 0) {
    side.on_crash = {};
    data_centres = {"east", "west", "south"};
    regions = {{"east", "r-east"}, {"west", "r-west"}, {"south", "r-south"}};
    edges.resize(6);
    for (std::size_t i = 0; i < edges.size(); ++i)
      start(i);
    for (const std::string& data_centre : data_centres) {
      for (int i = 0; i < 3; ++i)
        add_target(data_centre + "-" + std::to_string(i), data_centre);
    }
    add_target("lost-0", "unknown");
  }

  void bind(const std::string& homes) {
    set_config(++version, homes);
    run_for(1s);
  }

  void send_to_all(const std::string& path, int rounds = 10) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t node = 0; node < edges.size(); ++node) {
        net::server_request request;
        request.method = "POST";
        request.path = path;
        request.body = "body of " + std::to_string(callers.size());
        send(node, std::move(request), false);
        run_for(20ms);
      }
    }
    run_for(5s);
  }

  /// Data centres whose targets have got requests.
  names reached() const {
    names found;
    for (const auto& arrival : side.arrivals)
      found.insert(arrival.target.substr(0, arrival.target.find('-')));
    return found;
  }

  std::size_t answered(int status) const {
    return std::count_if(callers.begin(), callers.end(), [status](const auto& each) {
      return each->writer.status == status && (each->writer.finished || !each->writer.body.empty());
    });
  }

  std::uint64_t version = 1;
};

struct route_case {
  const char* homes;
  names reached;
};

std::ostream& operator<<(std::ostream& out, const route_case& each) {
  return out << "homes '" << each.homes << "'";
}

const route_case route_cases[] = {
    {"", {"east", "west", "south", "lost"}},
    {"plain=r-east", {"east"}},
    {"plain=r-east,r-south", {"east", "south"}},
    {"plain=r-south stream=r-west", {"south"}},
    {"plain=r-nowhere", {}},
    {"plain=r-nowhere,r-west", {"west"}},
};

struct directory_case {
  const char* homes;
  const char* data_centre;
  names nodes;
};

std::ostream& operator<<(std::ostream& out, const directory_case& each) {
  return out << "caller in " << each.data_centre << ", homes '" << each.homes << "'";
}

const names east{"public-peer-0", "public-peer-3"};
const names west{"public-peer-1", "public-peer-4"};
const names south{"public-peer-2", "public-peer-5"};

const directory_case directory_cases[] = {
    {"", "east", east},
    {"plain=r-east", "east", east},
    // A caller's own region is allowed whatever the homes are.
    {"plain=r-east", "west", west},
    {"plain=r-south stream=r-west", "west", west},
};

} // namespace

BOOST_AUTO_TEST_SUITE(homes)

BOOST_DATA_TEST_CASE(requests_reach_only_targets_in_their_homes, data::make(route_cases), each) {
  regional_fleet fleet;
  fleet.bind(each.homes);
  fleet.send_to_all("/plain/x", 20);
  BOOST_TEST(fleet.reached() == each.reached);
  const std::size_t all = fleet.callers.size();
  BOOST_TEST(fleet.answered(200) == (each.reached.empty() ? 0U : all));
  BOOST_TEST(fleet.answered(503) == (each.reached.empty() ? all : 0U));
}

BOOST_AUTO_TEST_CASE(request_without_a_home_is_refused_at_once) {
  regional_fleet fleet;
  fleet.bind("plain=r-nowhere");
  const auto response = fleet.call(0, "/plain/x");
  BOOST_TEST(response->status == 503);
  BOOST_TEST(fleet.side.arrivals.empty());
}

BOOST_AUTO_TEST_CASE(retries_and_second_tries_stay_in_the_homes) {
  regional_fleet fleet;
  fleet.bind("plain=r-west stream=r-west once=r-west");
  // Two of the three targets at home are gone, which nobody knows yet.
  fleet.side.crash("west-0");
  fleet.side.crash("west-1");
  for (const char* path : {"/plain/x", "/stream/x", "/once/x"})
    fleet.send_to_all(path);
  BOOST_TEST(fleet.reached() == names{"west"});
}

BOOST_DATA_TEST_CASE(nodes_relay_only_within_the_homes, data::make({true, false}), has_homes) {
  regional_fleet fleet;
  fleet.bind(has_homes ? "plain=r-west,r-south" : "");
  std::map<std::string, std::size_t> relayed;
  for (auto& [peer, handler] : fleet.network.nodes) {
    handler = [&relayed, peer = peer, inner = handler](net::server_request request,
                                                       net::response_writer& writer) {
      relayed[peer] += request.path.starts_with("/camphorlug/v1/relay") ? 1 : 0;
      return inner(std::move(request), writer);
    };
  }
  fleet.side.cut_off("peer-1", fakes::faulty_targets::cut_kind::reset);
  const auto send_for = [&](std::chrono::nanoseconds span) {
    for (std::chrono::nanoseconds passed{0}; passed < span; passed += 20ms) {
      net::server_request request;
      request.method = "POST";
      request.path = request.target = "/plain/x";
      request.body = "body of " + std::to_string(fleet.callers.size());
      fleet.send(1, std::move(request), false);
      fleet.run_for(20ms);
    }
  };
  // The node finds out that it reaches no target.
  send_for(3s);
  const auto known_at = fleet.clock.now();
  send_for(2s);
  fleet.run_for(3s);
  BOOST_TEST(fleet.served_after(known_at) >= 0.95);
  const std::size_t abroad = relayed["peer-0"] + relayed["peer-3"];
  BOOST_TEST((abroad > 0) == !has_homes);
  BOOST_TEST(relayed["peer-2"] + relayed["peer-4"] + relayed["peer-5"] > 50U);
}

BOOST_DATA_TEST_CASE(directory_names_nodes_in_the_homes_or_in_the_callers_region,
                     data::make(directory_cases), each) {
  regional_fleet fleet;
  fleet.bind(each.homes);
  const auto named = fleet.entries(2, each.data_centre);
  BOOST_TEST(names(named.begin(), named.end()) == each.nodes);
}

BOOST_AUTO_TEST_CASE(directory_replaces_lost_nodes_within_the_homes) {
  regional_fleet fleet;
  fleet.bind("plain=r-east");
  fleet.kill(1);
  fleet.kill(4);
  fleet.run_for(4s);
  const auto named = fleet.entries(2, "west");
  BOOST_TEST(names(named.begin(), named.end()) == east);
}

BOOST_AUTO_TEST_SUITE_END()
