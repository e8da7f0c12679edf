#include "base64.h"
#include "platform_row_decoder.h"

#include "camphorlug/table/row_mirror.h"

#include "fakes/recorded_build.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <rapidcheck.h>
#include <set>

using namespace camphorlug;
using namespace std::chrono_literals;
using nlohmann::json;
namespace data = boost::unit_test::data;

namespace {

json valid_entry() {
  return json::parse(R"({"backend":"engines","address":"10.0.0.9:80","zone":"east","version":"v1",
    "batchSlots":17,"state":"ready","warmupLeftMs":250,"seq":4,"born":1700000000123,
    "domain":"f3","staged":["m1"],"models":[{"name":"m0","version":1,"adapters":[]}],
    "group":{"name":"g7","epoch":12,"rank":1,"state":"ready"}})");
}

json valid_config() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"stream","timeoutMs":8000,
       "goalMs":400,"priority":1,"attempts":2,"public":false,"resumeStreams":true,
       "gapTargetMs":300,"split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}]},
      {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"idempotent","timeoutMs":1000,
       "backend":"s2"}],
    "services":[
      {"name":"s1","healthPath":"/h","engine":{"batchSlots":17,"step_ms":7.8,"loadsPerS":5.0,
       "loads_at_once":7,"models":[{"name":"m0","size":4,"share":0.5,"pace":1.0,"loadS":16.0,
       "warmS":1.6}],"usual":{"prompt":979,"answer":154}}},
      {"name":"s2","healthPath":"/h"}],
    "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000},
    "tenants":[{"name":"org","apiKeys":["k1","k2"],"priority":3}]})");
}

struct idle_value {
  const char* value;
  /// 0 if there is no limit.
  std::int64_t milliseconds;
};

std::ostream& operator<<(std::ostream& out, const idle_value& each) {
  return out << each.value;
}

const idle_value idle_values[] = {
    {"15000", 15'000}, {"1500.5", 1500}, {"0", 0}, {"-1", 0}, {"1e30", 86'400'000},
};

/// A field value that makes a target entry unusable.
struct invalid_field_value {
  const char* field;
  const char* value;
};

std::ostream& operator<<(std::ostream& out, const invalid_field_value& each) {
  return out << each.field << "=" << each.value;
}

const invalid_field_value invalid_field_values[] = {
    {"backend", "null"},
    {"backend", "7"},
    {"address", "[]"},
    {"address", "\"\""},
    {"address", "\"10.0.0.9\""},
    {"address", "\":80\""},
    {"address", "\"10.0.0.9:\""},
    {"address", "\"10.0.0.9:eighty\""},
    {"address", "\"10.0.0.9:123456\""},
    {"address", "\"10.0.0.9:80/evil?\""},
    {"address", "\"evil/:80\""},
    {"address", "\"user@10.0.0.9:80\""},
    {"address", "\"10.0.0.9 :80\""},
    {"address", "\"10.0.0.9:80\\r\\nX: y\""},
    {"address", "\"[]:80\""},
    {"zone", "null"},
    {"state", "\"up\""},
    {"state", "1"},
    {"batchSlots", "\"\""},
    {"batchSlots", "null"},
    {"group", "{\"name\":\"g\"}"},
    {"group", "{\"name\":\"g\",\"epoch\":\"x\"}"},
    {"models", "[{}]"},
    {"models", "[7]"},
    {"staged", "[1]"},
    {"group", "\"g7\""},
    {"group", "7"},
    {"group", "[]"},
    {"born", "\"soon\""},
    {"born", "null"},
    {"born", "-1"},
    {"born", "1700000000123.5"},
};

const platform::platform_row_decoder decoder;

struct home_value {
  const char* value;
  /// Nothing if they allow all regions.
  std::optional<std::set<std::string>> regions;
};

std::ostream& operator<<(std::ostream& out, const home_value& each) {
  return out << each.value;
}

const home_value home_values[] = {
    {R"(["north","south"])", {{"north", "south"}}},
    {R"(["north","north"])", {{"north"}}},
    {"null", std::nullopt},
    {"[]", std::nullopt},
    {R"("north")", std::set<std::string>()},
    {"7", std::set<std::string>()},
    {R"({"north":1})", std::set<std::string>()},
    {R"(["north",7])", std::set<std::string>()},
    {R"(["north",""])", std::set<std::string>()},
    {R"([["north"]])", std::set<std::string>()},
};

} // namespace

BOOST_AUTO_TEST_CASE(target_entry_is_fully_decoded) {
  const auto entry = decoder.read_target("i1", valid_entry().dump());
  BOOST_REQUIRE(entry);
  BOOST_TEST(entry->id == "i1");
  BOOST_TEST(entry->service == "engines");
  BOOST_TEST(entry->address == "10.0.0.9:80");
  BOOST_TEST(entry->data_centre == "east");
  BOOST_TEST(entry->slots == 17);
  BOOST_TEST(!entry->draining);
  BOOST_TEST(entry->started_at_ms == 1700000000123);
  BOOST_TEST((entry->warm_up_remaining == 250ms));
  BOOST_TEST(entry->fabric_domain == "f3");
  BOOST_TEST(entry->model == "m0");
  BOOST_TEST(entry->staged_models == std::vector<std::string>{"m1"},
             boost::test_tools::per_element());
  BOOST_REQUIRE(entry->membership);
  BOOST_TEST(entry->membership->group == "g7");
  BOOST_TEST(entry->membership->epoch == 12);
  BOOST_TEST(entry->membership->rank == 1);
  BOOST_TEST((entry->membership->state == gateway::membership_state::ready));
}

// Guards against entries of another writer whose key spoils the requests that name it.
BOOST_DATA_TEST_CASE(target_whose_id_fits_in_no_request_is_rejected,
                     data::make({"", "i 1", "i\t1", "i1\r\nX: y", "i\x7f", "\xc3\xa4"}), id) {
  BOOST_TEST(!decoder.read_target(id, valid_entry().dump()));
}

BOOST_DATA_TEST_CASE(unusual_ids_are_usable, data::make({"i/1", "i%2F", "i?x", "#", "a.b:c"}), id) {
  BOOST_TEST(decoder.read_target(id, valid_entry().dump()).has_value());
}

BOOST_DATA_TEST_CASE(invalid_target_entry_is_rejected, data::make(invalid_field_values), each) {
  json entry = valid_entry();
  entry[each.field] = json::parse(each.value);
  BOOST_TEST(!decoder.read_target("i1", entry.dump()));
}

BOOST_AUTO_TEST_CASE(target_entry_with_missing_field_is_rejected) {
  for (const char* field : {"backend", "address", "zone", "batchSlots", "state"}) {
    json entry = valid_entry();
    entry.erase(field);
    BOOST_TEST(!decoder.read_target("i1", entry.dump()), field);
  }
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_do_not_crash_the_decoder) {
  BOOST_TEST(rc::check("the decoder never throws", [](const std::string& text) {
    decoder.read_target("i1", text);
    decoder.read_config(text);
  }));
}

BOOST_AUTO_TEST_CASE(config_is_fully_decoded) {
  const auto config = decoder.read_config(valid_config().dump());
  BOOST_REQUIRE(config);
  BOOST_TEST(config->version == 7);
  const auto stream = config->find_route("a.example", "/x/1");
  BOOST_REQUIRE(stream);
  BOOST_TEST((stream->kind == gateway::request_kind::stream));
  BOOST_TEST(stream->repeatable());
  BOOST_TEST((stream->timeout == 8s));
  BOOST_TEST((stream->objective == 400ms));
  BOOST_TEST((stream->pause_objective == 300ms));
  BOOST_TEST(stream->attempts == 2);
  BOOST_TEST(stream->services.size() == 2);
  BOOST_TEST(config->find_route("a.example", "/y/1")->services[0].service == "s2");
  BOOST_TEST(config->services.at("s1").engine->models[0].size == 4);
  BOOST_TEST((config->services.at("s1").engine->models[0].staged_load_time == 1600ms));
  BOOST_TEST(!config->services.at("s2").engine);
  BOOST_TEST(config->limits.body_bytes == 2000);
  BOOST_TEST(config->keys.at("k2").organisation == "org");
  BOOST_TEST(config->keys.at("k2").priority.value_or(0) == 3);
}

BOOST_DATA_TEST_CASE(idle_limit_is_read_if_it_is_a_time, data::make(idle_values), each) {
  json config = valid_config();
  config["limits"]["idleTimeoutMs"] = json::parse(each.value);
  const auto read = decoder.read_config(config.dump());
  BOOST_REQUIRE(read);
  BOOST_TEST(read->limits.idle_time.value_or(0ms).count() == each.milliseconds);
}

BOOST_DATA_TEST_CASE(homes_are_read_or_allow_nothing, data::make(home_values), each) {
  for (const bool of_route : {true, false}) {
    json config = valid_config();
    json& owner = of_route ? config["routes"][0] : config["tenants"][0];
    owner["allowedRegions"] = json::parse(each.value);
    const auto read = platform::platform_row_decoder().read_config(config.dump());
    BOOST_REQUIRE(read);
    const gateway::home_regions homes =
        of_route ? read->find_route("a.example", "/x/1")->homes : read->keys.at("k1").homes;
    BOOST_TEST((homes.regions() == each.regions));
    // Others are not bound by them.
    BOOST_TEST(!read->find_route("a.example", "/y/1")->homes.is_restricted());
  }
}

// Nodes pass the rows of targets on to each other as the store has them.
BOOST_AUTO_TEST_CASE(target_rows_from_a_node_of_an_earlier_build_are_read) {
  const auto batch = table::batch_from_json(fakes::recorded_build::read("entries.json"));
  BOOST_TEST(batch.rows.size() == 12U);
  BOOST_TEST(batch.history_truncated);
  const platform::platform_row_decoder decoder;
  std::size_t heads = 0;
  for (const table::feed_row& row : batch.rows) {
    const auto entry = decoder.read_target(row.key, row.value);
    BOOST_REQUIRE(entry);
    heads += entry->membership && entry->membership->rank == 0 ? 1 : 0;
    json later = json::parse(row.value);
    later["addedLater"] = {{"field", 1}};
    BOOST_TEST(decoder.read_target(row.key, later.dump()).has_value());
  }
  BOOST_TEST(heads > 0U);
  // What a node of this build passes on is the same.
  const auto again = table::batch_from_json(table::to_json(batch));
  BOOST_TEST(again.rows.size() == batch.rows.size());
  BOOST_TEST(again.rows.front().value == batch.rows.front().value);
}

BOOST_AUTO_TEST_CASE(unknown_fields_of_newer_versions_are_ignored) {
  json config = valid_config();
  config["later"] = {{"a", 1}};
  config["routes"][0]["later"] = "x";
  BOOST_TEST(decoder.read_config(config.dump()));
}

BOOST_AUTO_TEST_CASE(base64_round_trips) {
  BOOST_TEST(rc::check("decoding restores the original bytes", [](const std::string& bytes) {
    RC_ASSERT(platform::from_base64(platform::to_base64(bytes)) == bytes);
  }));
  BOOST_TEST(!platform::from_base64("a"));
  BOOST_TEST(!platform::from_base64("????"));
}
