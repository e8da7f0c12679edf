#include "camphorlug/configuration/config_check.h"

#include "platform_row_decoder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using configuration::finding_severity;
using nlohmann::json;
namespace data = boost::unit_test::data;

namespace {

json sound_config() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"chat","host":"a.example","pathPrefix":"/x/","kind":"stream","timeoutMs":8000,
       "goalMs":400,"gapTargetMs":300,"attempts":2,"resumeStreams":true,
       "split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}]},
      {"name":"card","host":"a.example","pathPrefix":"/y/","kind":"idempotent","timeoutMs":1000,
       "goalMs":300,"backend":"s2"}],
    "services":[
      {"name":"s1","engine":{"batchSlots":17,"loadsPerS":5.0,"models":[
        {"name":"m0","size":4,"share":0.5,"pace":1.0,"loadS":16.0,"warmS":1.6},
        {"name":"m1","size":2,"share":0.5,"pace":0.6,"loadS":12.0,"warmS":1.1}]}},
      {"name":"s2"}],
    "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000},
    "tenants":[{"name":"north","apiKeys":["k1"]},{"name":"south","apiKeys":["k2"]}]})");
}

/// A change of the sound configuration, as a JSON merge at `place`, and the finding it leads to.
struct unsound_change {
  const char* place;
  const char* value;
  finding_severity severity;
  const char* entry;
  const char* message;
};

std::ostream& operator<<(std::ostream& out, const unsound_change& each) {
  return out << each.place << " = " << each.value;
}

constexpr auto error = finding_severity::error;
constexpr auto warning = finding_severity::warning;

const unsound_change unsound_changes[] = {
    {"/routes/1/pathPrefix", R"("/x/")", warning, "route chat", "never matches: route card"},
    {"/routes/1/pathPrefix", R"("/y")", error, "route card", "begin and end with a slash"},
    {"/routes/1/host", R"("")", error, "route card", "empty host"},
    {"/routes/1/timeoutMs", "0", error, "route card", "leaves no time"},
    {"/routes/1/timeoutMs", "-5", error, "route card", "leaves no time"},
    {"/routes/1/timeoutMs", "200", warning, "route card", "beyond the time limit"},
    {"/routes/1/goalMs", "0", warning, "route card", "no response meets"},
    {"/routes/0/gapTargetMs", "9000", warning, "route chat", "beyond the time limit"},
    {"/routes/0/gapTargetMs", "0", warning, "route chat", "no stream meets"},
    {"/routes/1/attempts", "0", error, "route card", "no request reaches a target"},
    {"/routes/0/resumeStreams", "false", warning, "route chat", "only one of 2 attempts"},
    {"/routes/1/resumeStreams", "true", warning, "route card", "only streams"},
    {"/routes/1/backend", R"("s9")", error, "route card", "service s9 is not defined"},
    {"/routes/0/split/1/backend", R"("s1")", warning, "route chat", "named twice"},
    {"/routes/0/split/1/weight", "0", warning, "route chat", "weight 0"},
    {"/routes/0/split/1/weight", "-1", error, "route chat", "not a positive number"},
    {"/routes/0/split", R"([{"backend":"s1","weight":0}])", error, "route chat",
     "no service has a weight"},
    {"/services/1/name", R"("s3")", warning, "service s3", "no route points to it"},
    {"/services/0/engine/batchSlots", "0", error, "service s1", "0 slots"},
    {"/services/0/engine/loadsPerS", "0", error, "service s1", "no weights can be loaded"},
    {"/services/0/engine/models/1/name", R"("m0")", error, "service s1", "defined twice"},
    {"/services/0/engine/models/1/size", "0", error, "service s1", "at least one instance"},
    {"/services/0/engine/models/1/pace", "0", error, "service s1", "time factor"},
    {"/services/0/engine/models/1/share", "-0.5", error, "service s1", "negative share"},
    {"/services/0/engine/models/1/share", "0.7", warning, "service s1", "more than the whole"},
    {"/services/0/engine/models/1/warmS", "20", warning, "service s1", "slower from the host"},
    {"/limits/maxHeaderBytes", "0", error, "limits", "all are refused"},
    {"/limits/maxBodyBytes", "0", warning, "limits", "with a body are refused"},
    {"/tenants/1/apiKeys", R"(["k1"])", error, "organisation south", "organisation north has too"},
    {"/tenants/1/apiKeys", R"(["k2","k2"])", error, "organisation south", "a key twice"},
    {"/tenants", "[]", error, "organisations", "no key is defined"},
};

configuration::config_findings check(const json& config) {
  return configuration::check_config(*platform::platform_row_decoder::parse_config(config.dump()));
}

} // namespace

BOOST_AUTO_TEST_CASE(sound_configuration_has_no_findings) {
  for (const auto& each : check(sound_config()))
    BOOST_ERROR(each.entry + ": " + each.message);
}

BOOST_DATA_TEST_CASE(unsound_entry_is_found, data::make(unsound_changes), change) {
  json config = sound_config();
  config[json::json_pointer(change.place)] = json::parse(change.value);
  const auto findings = check(config);
  const auto found = std::find_if(findings.begin(), findings.end(), [&](const auto& each) {
    return each.entry == change.entry && each.message.find(change.message) != std::string::npos;
  });
  BOOST_REQUIRE(found != findings.end());
  BOOST_TEST((found->severity == change.severity));
}

BOOST_AUTO_TEST_CASE(errors_come_before_warnings) {
  json config = sound_config();
  config["limits"]["maxBodyBytes"] = 0;
  config["routes"][1]["attempts"] = 0;
  const auto findings = check(config);
  BOOST_REQUIRE(findings.size() == 2);
  BOOST_TEST((findings[0].severity == error));
  BOOST_TEST((findings[1].severity == warning));
}

BOOST_AUTO_TEST_CASE(findings_never_show_a_key) {
  json config = sound_config();
  config["tenants"][0]["apiKeys"] = {"secret-value", "secret-value"};
  for (const auto& each : check(config))
    BOOST_TEST((each.entry + each.message).find("secret") == std::string::npos);
}

/// A value that makes the configuration unreadable, and the place that the message names.
struct unreadable_change {
  const char* place;
  const char* value;
  const char* named;
};

std::ostream& operator<<(std::ostream& out, const unreadable_change& each) {
  return out << each.place << " = " << each.value;
}

const unreadable_change unreadable_changes[] = {
    {"/version", R"("x")", "version"},
    {"/routes/1/timeoutMs", R"("long")", "routes[1]"},
    {"/routes/0/split/0", "{}", "routes[0]"},
    {"/services/1", "{}", "services[1]"},
    {"/services/0/engine/models/1/size", R"("four")", "services[0]"},
    {"/limits", "3", "limits"},
    {"/tenants/0", "{}", "tenants"},
};

BOOST_DATA_TEST_CASE(unreadable_part_is_named, data::make(unreadable_changes), change) {
  json config = sound_config();
  config[json::json_pointer(change.place)] = json::parse(change.value);
  BOOST_CHECK_EXCEPTION(
      platform::platform_row_decoder::parse_config(config.dump()), std::invalid_argument,
      [&](const auto& thrown) { return std::string(thrown.what()).starts_with(change.named); });
}

BOOST_AUTO_TEST_CASE(syntax_error_names_its_line) {
  BOOST_CHECK_EXCEPTION(platform::platform_row_decoder::parse_config("{\n\"version\": 7,\n]"),
                        std::invalid_argument, [](const auto& thrown) {
                          return std::string(thrown.what()).find("line 3") != std::string::npos;
                        });
}

/// Replaces one leaf or part of the configuration by an arbitrary value.
static json mutate(json config) {
  static const json values = json::parse(R"([null, -1, 0, 1e300, "", "x", [], {}, true, [{}]])");
  const json flat = config.flatten();
  std::vector<std::string> places;
  for (const auto& [place, value] : flat.items())
    places.push_back(place);
  json::json_pointer place(*rc::gen::elementOf(places));
  const int levels = *rc::gen::inRange(0, 3);
  for (int level = 0; level < levels && !place.parent_pointer().empty(); ++level)
    place = place.parent_pointer();
  config[place] = values[*rc::gen::inRange<std::size_t>(0, values.size())];
  return config;
}

BOOST_AUTO_TEST_CASE(check_reads_exactly_what_a_node_reads) {
  const bool held = rc::check([] {
    const std::string text = mutate(mutate(sound_config())).dump();
    const bool node_reads = platform::platform_row_decoder().read_config(text) != nullptr;
    bool check_reads = true;
    try {
      configuration::check_config(*platform::platform_row_decoder::parse_config(text));
    } catch (const std::invalid_argument&) {
      check_reads = false;
    }
    RC_ASSERT(node_reads == check_reads);
  });
  BOOST_TEST(held);
}
