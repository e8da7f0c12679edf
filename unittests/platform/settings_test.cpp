#include "platform_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const char* const valid_settings = R"(nodeName: "edge-1"
zone: "east"
ip: "10.1.0.40"
listen:
  http: "10.1.0.40:1"
  readiness: "10.1.0.40:2"
  control: "10.1.0.40:3"
  directory: "10.1.0.40:4"
seeds:
  - "10.1.0.40:3"
dataDir: null
later: 7
policyParams:
  graceS: 8
  retryRatio: 0.25
  retryWindowS: 10
  retrySlack: 50
  ttl_max_s: 0.5
  evacuateMs: 5000
  configApplyMs: 3000
  drainMs: 2500
provider:
  address: "10.200.1.7:5"
)";

struct settings_edit {
  const char* original;
  const char* replacement;
  /// The field that the error message must name.
  const char* field;
};

std::ostream& operator<<(std::ostream& out, const settings_edit& each) {
  return out << each.field;
}

const settings_edit invalid_edits[] = {
    {"nodeName: \"edge-1\"\n", "", "nodeName"},
    {"  http: \"10.1.0.40:1\"\n", "", "listen.http"},
    {"  control: \"10.1.0.40:3\"\n", "  control: []\n", "listen.control"},
    {"  address: \"10.200.1.7:5\"\n", "  other: 1\n", "provider.address"},
    {"  retryRatio: 0.25\n", "  retryRatio: many\n", "policyParams.retryRatio"},
    {"  evacuateMs: 5000\n", "  evacuateMs: soon\n", "policyParams.evacuateMs"},
    {"  configApplyMs: 3000\n", "  configApplyMs: soon\n", "policyParams.configApplyMs"},
    {"seeds:\n  - \"10.1.0.40:3\"\n", "seeds: {a: 1}\n", "seeds"},
    {"zone: \"east\"\n", "zone: [\n", "YAML"},
    {"later: 7\n", "zones: [east]\n", "zones"},
    {"later: 7\n", "limits: {memoryMb: much}\n", "limits.memoryMb"},
    {"later: 7\n", "limits: {maxFds: many}\n", "limits.maxFds"},
};

std::string apply_edit(const settings_edit& edit) {
  std::string text = valid_settings;
  const std::size_t position = text.find(edit.original);
  BOOST_REQUIRE(position != std::string::npos);
  return text.replace(position, std::string(edit.original).size(), edit.replacement);
}

const settings_edit fixed_field_edits[] = {
    {"nodeName: \"edge-1\"", "nodeName: \"edge-2\"", "nodeName"},
    {"zone: \"east\"", "zone: \"west\"", "zone"},
    {"ip: \"10.1.0.40\"", "ip: \"10.1.0.41\"", "ip"},
    {"http: \"10.1.0.40:1\"", "http: \"10.1.0.40:9\"", "listen.http"},
    {"readiness: \"10.1.0.40:2\"", "readiness: \"10.1.0.40:9\"", "listen.readiness"},
    {"control: \"10.1.0.40:3\"", "control: \"10.1.0.40:9\"", "listen.control"},
    {"directory: \"10.1.0.40:4\"", "directory: \"10.1.0.40:9\"", "listen.directory"},
};

const settings_edit changeable_field_edits[] = {
    {"  - \"10.1.0.40:3\"", "  - \"10.1.0.50:3\"", "seeds"},
    {"graceS: 8", "graceS: 4", "policyParams.graceS"},
    {"evacuateMs: 5000", "evacuateMs: 7000.0", "policyParams.evacuateMs"},
    {"configApplyMs: 3000", "configApplyMs: 2000", "policyParams.configApplyMs"},
    {"drainMs: 2500", "drainMs: 2000", "policyParams.drainMs"},
    {"retrySlack: 50", "retrySlack: 20", "policyParams.retrySlack"},
    {"address: \"10.200.1.7:5\"", "address: \"10.200.1.8:5\"", "provider.address"},
    {"later: 7", "later: 8", "later"},
};

struct memory_value {
  const char* text;
  std::size_t mebibytes;
};

std::ostream& operator<<(std::ostream& out, const memory_value& each) {
  return out << each.text;
}

const memory_value memory_values[] = {
    {"later: 8", 0},
    {"limits: {memoryMb: 160}", 160},
    {"limits: {memoryMb: null}", 0},
    {"limits: {memoryMb: 0}", 64},
    {"limits: {memoryMb: -5}", 64},
    {"limits: {memoryMb: 3}", 64},
    {"limits: {memoryMb: .nan}", 64},
    {"limits: {memoryMb: .inf}", 1024 * 1024},
    {"limits: {memoryMb: 1e30}", 1024 * 1024},
};

struct descriptor_value {
  const char* text;
  std::size_t sockets;
};

std::ostream& operator<<(std::ostream& out, const descriptor_value& each) {
  return out << each.text;
}

const descriptor_value descriptor_values[] = {
    {"later: 8", 0},
    {"limits: {maxFds: 4200}", 4000},
    {"limits: {maxFds: null}", 0},
    {"limits: {maxFds: 0}", 100},
    {"limits: {maxFds: -5}", 100},
    {"limits: {maxFds: .nan}", 100},
    {"limits: {maxFds: 1e30}", 1024 * 1024 - 200},
};

} // namespace

BOOST_AUTO_TEST_CASE(all_settings_are_read) {
  const platform::platform_settings settings = platform::read_settings(valid_settings);
  BOOST_TEST(settings.node.id == "edge-1");
  BOOST_TEST(settings.node.data_centre == "east");
  BOOST_TEST(settings.node.public_address == "10.1.0.40:1");
  BOOST_TEST(settings.node.peer_address == "10.1.0.40:3");
  BOOST_TEST(settings.node.seeds.size() == 1);
  BOOST_TEST(settings.node.retries.ratio == 0.25);
  BOOST_TEST((settings.node.retries.window == 10s));
  BOOST_TEST((settings.node.termination_grace == 8s));
  BOOST_TEST((settings.node.entries_valid_for == 500ms));
  BOOST_TEST((settings.node.evacuation_time_limit == 5s));
  BOOST_TEST(settings.store_address == "10.200.1.7:5");
}

BOOST_DATA_TEST_CASE(memory_is_within_its_bounds, data::make(memory_values), each) {
  const auto settings = platform::read_settings(apply_edit({"later: 7", each.text, ""}));
  BOOST_TEST(settings.node.memory_bytes == each.mebibytes * 1024 * 1024);
}

BOOST_DATA_TEST_CASE(files_take_part_of_the_descriptors, data::make(descriptor_values), each) {
  const auto settings = platform::read_settings(apply_edit({"later: 7", each.text, ""}));
  BOOST_TEST(settings.max_sockets == each.sockets);
}

BOOST_AUTO_TEST_CASE(regions_of_zones_are_read) {
  const gateway::region_map both{{"east", "a"}, {"west", "b"}};
  const auto read = [](const char* text) {
    return platform::read_settings(apply_edit({"later: 7", text, ""})).node.regions;
  };
  BOOST_TEST((read("zones: {east: a, west: b}") == both));
  BOOST_TEST((read("zones: {west: b}\nregion: a") == both));
  BOOST_TEST((read("region: a") == gateway::region_map{{"east", "a"}}));
  BOOST_TEST(read("later: 8").empty());
}

BOOST_DATA_TEST_CASE(invalid_settings_error_names_the_field, data::make(invalid_edits), each) {
  const std::string text = apply_edit(each);
  try {
    platform::read_settings(text);
    BOOST_ERROR("invalid settings were accepted");
  } catch (const platform::settings_error& error) {
    const std::string message = error.what();
    BOOST_TEST(message.find(each.field) != std::string::npos, message);
    BOOST_TEST(message.find("expected") != std::string::npos, message);
    BOOST_TEST(message.find('\n') == std::string::npos, message);
  }
}

// The fixed fields are the node's identity and its listening addresses.
BOOST_DATA_TEST_CASE(reload_rejects_changes_to_fixed_fields, data::make(fixed_field_edits), each) {
  const auto before = platform::read_settings(valid_settings);
  const auto after = platform::read_settings(apply_edit(each));
  try {
    platform::require_fixed_fields_unchanged(before, after);
    BOOST_ERROR("a change to a fixed field was accepted");
  } catch (const platform::settings_error& error) {
    const std::string message = error.what();
    BOOST_TEST(message.find(std::string(each.field) + ": expected") != std::string::npos, message);
    BOOST_TEST(message.find("starts again") != std::string::npos, message);
  }
}

BOOST_DATA_TEST_CASE(reload_accepts_changeable_fields, data::make(changeable_field_edits), each) {
  const auto before = platform::read_settings(valid_settings);
  const auto after = platform::read_settings(apply_edit(each));
  BOOST_CHECK_NO_THROW(platform::require_fixed_fields_unchanged(before, after));
}

// Without a usable limit the default holds, never none.
BOOST_AUTO_TEST_CASE(time_limits_of_changes_are_read) {
  const edge::edge_settings read = platform::read_settings(valid_settings).node;
  BOOST_TEST((read.config_time_limit == 3000ms));
  BOOST_TEST((read.target_time_limit == 2500ms));
  for (const char* text : {"0", "-5", ".nan", ".inf", "1e30"}) {
    const std::string value = "configApplyMs: " + std::string(text);
    const std::string edited = apply_edit({"configApplyMs: 3000", value.c_str(), ""});
    BOOST_TEST((platform::read_settings(edited).node.config_time_limit ==
                edge::edge_settings{}.config_time_limit));
  }
}
