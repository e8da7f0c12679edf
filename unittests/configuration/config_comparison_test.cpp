#include "camphorlug/configuration/config_comparison.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace camphorlug;
using namespace std::chrono_literals;
using gateway::routing_config;
namespace data = boost::unit_test::data;

namespace {

gateway::route make_route(const char* prefix) {
  gateway::route made;
  made.host = "a.example";
  made.path_prefix = prefix;
  made.services = {{"s1", 1}};
  return made;
}

/// The parts that the cases of the table change.
struct config_parts {
  std::uint64_t version = 1;
  std::vector<gateway::route> routes{make_route("/"), make_route("/x/")};
  std::vector<gateway::model_profile> models{{"m0", 4}};
  std::map<std::string, gateway::organisation_key> keys{{"k1", {"north", {}}}};
  bool has_plain_service = true;

  routing_config build() const {
    routing_config config;
    config.version = version;
    for (const auto& each : routes)
      config.add_route(each);
    gateway::engine_profile engine;
    engine.models = models;
    config.services["s1"] = {"s1", engine};
    if (has_plain_service)
      config.services["s2"] = {"s2", {}};
    for (const auto& [key, owner] : keys)
      config.add_key(key, owner);
    config.has_organisations = !keys.empty();
    return config;
  }
};

/// An edit and the change that is reported for it.
struct edit_case {
  const char* name;
  std::function<void(config_parts&)> edit;
  const char* entry;
  const char* difference;
  const char* effect;
};

std::ostream& operator<<(std::ostream& out, const edit_case& each) {
  return out << each.name;
}

const edit_case edit_cases[] = {
    {"shorter limit", [](config_parts& parts) { parts.routes[1].timeout = 5s; },
     "route a.example/x/", "time limit 10000 ms becomes 5000 ms", "keep the limit"},
    {"removed route", [](config_parts& parts) { parts.routes.pop_back(); }, "route a.example/x/",
     "removed", "its requests go to route a.example/"},
    {"removed last route", [](config_parts& parts) { parts.routes.erase(parts.routes.begin()); },
     "route a.example/", "removed", "404"},
    {"added route", [](config_parts& parts) { parts.routes.push_back(make_route("/x/y/")); },
     "route a.example/x/y/", "added", "takes requests from route a.example/x/"},
    {"moved route",
     [](config_parts& parts) {
       parts.routes[0].services = {{"s2", 1}};
     },
     "route a.example/", "becomes s2", "stay where they are"},
    {"other kind",
     [](config_parts& parts) { parts.routes[0].kind = gateway::request_kind::idempotent; },
     "route a.example/", "kind at most once becomes idempotent", ""},
    {"larger groups", [](config_parts& parts) { parts.models[0].size = 8; }, "service s1",
     "instances in a group 4 becomes 8", "formed anew"},
    {"removed model", [](config_parts& parts) { parts.models[0].name = "m1"; }, "service s1",
     "model m0 removed", "dissolved"},
    {"removed service", [](config_parts& parts) { parts.has_plain_service = false; }, "service s2",
     "removed", "finish"},
    {"removed key",
     [](config_parts& parts) {
       parts.keys = {{"k2", {"north", {}}}};
     },
     "organisation north", "1 keys removed", "401"},
    {"key of another organisation",
     [](config_parts& parts) { parts.keys["k1"].organisation = "south"; }, "organisation south",
     "1 keys added", ""},
    {"older version", [](config_parts& parts) { parts.version = 0; }, "version", "0 is not above 1",
     "ignore"},
};

} // namespace

BOOST_AUTO_TEST_CASE(newer_version_with_the_same_parts_has_no_changes) {
  config_parts after;
  after.version = 2;
  BOOST_TEST(configuration::compare_configs(config_parts().build(), after.build()).empty());
}

BOOST_DATA_TEST_CASE(edit_is_reported_with_its_effect, data::make(edit_cases), each) {
  config_parts after;
  after.version = 2;
  each.edit(after);
  const auto changes = configuration::compare_configs(config_parts().build(), after.build());
  const auto found = std::find_if(changes.begin(), changes.end(), [&](const auto& change) {
    return change.entry == each.entry &&
           change.difference.find(each.difference) != std::string::npos &&
           change.effect.find(each.effect) != std::string::npos;
  });
  BOOST_TEST((found != changes.end()));
  for (const auto& change : changes)
    BOOST_TEST(change.difference.find("k1") == std::string::npos);
}
