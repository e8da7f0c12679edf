#include "camphorlug/gateway/home_faults.h"
#include "camphorlug/gateway/home_regions.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using gateway::home_regions;

namespace {

using regions = std::set<std::string>;

const gateway::region_map three_regions{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}};

struct common_case {
  std::optional<regions> route;
  std::optional<regions> organisation;
  /// Data centres that are left.
  regions left;
};

std::ostream& operator<<(std::ostream& out, const common_case& each) {
  const auto print = [&out](const std::optional<regions>& homes) {
    if (!homes)
      out << "anywhere";
    for (const std::string& each_region : homes.value_or(regions()))
      out << each_region << " ";
  };
  print(each.route);
  out << " with ";
  print(each.organisation);
  return out;
}

const common_case common_cases[] = {
    {std::nullopt, std::nullopt, {"a1", "a2", "b1", "c1", "unknown"}},
    {regions{"a"}, std::nullopt, {"a1", "a2"}},
    {std::nullopt, regions{"b", "c"}, {"b1", "c1"}},
    {regions{"a", "b"}, regions{"b", "c"}, {"b1"}},
    {regions{"a"}, regions{"b"}, {}},
    {regions{}, std::nullopt, {}},
    {regions{"nowhere"}, std::nullopt, {}},
};

home_regions to_homes(const std::optional<regions>& homes) {
  return homes ? home_regions(*homes) : home_regions();
}

std::shared_ptr<gateway::routing_config> make_config(const home_regions& route_homes,
                                                     const home_regions& organisation_homes) {
  auto config = std::make_shared<gateway::routing_config>();
  config->version = 2;
  config->has_organisations = true;
  config->keys["key"] = {"org", std::nullopt, organisation_homes};
  gateway::route route;
  route.name = "plain";
  route.host = "example";
  route.path_prefix = "/plain/";
  route.kind = gateway::request_kind::idempotent;
  route.attempts = 2;
  route.services = {{"shop", 1}};
  route.homes = route_homes;
  config->add_route(route);
  return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(homes)

BOOST_DATA_TEST_CASE(both_route_and_organisation_bind, data::make(common_cases), each) {
  const home_regions common = to_homes(each.route).common_with(to_homes(each.organisation));
  regions left;
  for (const char* data_centre : {"a1", "a2", "b1", "c1", "unknown"}) {
    if (common.allows(data_centre, three_regions))
      left.insert(data_centre);
  }
  BOOST_TEST(left == each.left);
  BOOST_TEST((to_homes(each.organisation).common_with(to_homes(each.route)) == common));
}

BOOST_DATA_TEST_CASE(gateway_sends_only_to_common_homes, data::make(common_cases), each) {
  fakes::gateway_fixture world;
  world.chooser.set_regions(three_regions);
  world.config.update_if_newer(make_config(to_homes(each.route), to_homes(each.organisation)));
  std::uint64_t version = 100;
  for (const char* data_centre : {"a1", "a2", "b1", "c1", "unknown"}) {
    gateway::target_entry entry;
    entry.id = entry.address = std::string("in-") + data_centre;
    entry.service = "shop";
    entry.data_centre = data_centre;
    entry.slots = 1;
    world.registry.update(entry.id, ++version, entry);
    fakes::scripted_answer script = fakes::complete_answer();
    script.delay = 2s;
    world.answer(entry.id, script);
  }
  std::vector<std::unique_ptr<fakes::recording_writer>> writers;
  for (int i = 0; i < 5; ++i) {
    writers.push_back(std::make_unique<fakes::recording_writer>());
    world.begin("/plain/x", *writers.back());
  }
  world.clock.run_for(5ms);
  regions reached;
  for (const net::client_request& received : world.client.received)
    reached.insert(received.address.substr(3));
  BOOST_TEST(reached == each.left, boost::test_tools::per_element());
  if (each.left.empty()) {
    // Refused at once, not when the time is up.
    for (const auto& writer : writers)
      BOOST_TEST(writer->status == 503);
  }
}

BOOST_AUTO_TEST_CASE(faults_of_homes_are_found) {
  const auto config = make_config(home_regions({"a", "mars"}), home_regions({"b"}));
  const std::vector<gateway::home_fault> expected{
      {"route plain", "no data centre lies in region mars"},
      {"route plain", "it has no home in common with organisation org"}};
  BOOST_TEST((gateway::find_home_faults(*config, three_regions) == expected));
  BOOST_TEST(
      gateway::find_home_faults(*make_config(home_regions({"a"}), {}), three_regions).empty());
  BOOST_TEST(
      gateway::find_home_faults(*make_config(home_regions(regions()), {}), three_regions).size() ==
      1U);
}

BOOST_AUTO_TEST_SUITE_END()
