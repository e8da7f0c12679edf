#include "camphorlug/gateway/crash_evidence.h"
#include "camphorlug/gateway/fleet_view.h"
#include "camphorlug/support/unknown_fields.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/earlier_build.h"
#include "fakes/recorded_build.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using nlohmann::json;

namespace {

gateway::node_status make_status(const std::string& id) {
  gateway::node_status status;
  status.id = id;
  status.peer_address = "peer-" + id;
  status.incarnation = 1;
  status.ready = true;
  return status;
}

struct viewing_node {
  viewing_node(support::clock& time, const std::string& id)
      : loads(time), suspicions(time), view(time, loads, suspicions) {
    message.sender = make_status(id);
    view.update_self(message.sender, {});
  }

  gateway::fleet_message next_message() {
    ++message.sequence;
    return message;
  }

  gateway::load_tracker loads;
  gateway::suspicion_list suspicions;
  gateway::fleet_view view;
  gateway::fleet_message message;
};

/// A message of a later build.
std::string add_later_fields(const gateway::fleet_message& message) {
  json value = json::parse(message.to_json());
  value["from"].push_back({{"zone", 7}});
  value["from"].push_back(3);
  value["sum"]["later"] = {{value["from"][0], 5}, {"shared", value["seq"]}};
  value["later"] = "of the sender alone";
  return value.dump();
}

struct merge_case {
  const char* held;
  const char* other;
  const char* merged;
};

std::ostream& operator<<(std::ostream& out, const merge_case& each) {
  return out << each.held << " and " << each.other;
}

const char* const recorded_messages[] = {"attach-request.json", "attach-reply.json",
                                         "hub-reply.json"};

const merge_case merge_cases[] = {
    {R"({})", R"({"a":1})", R"({"a":1})"},
    {R"({"a":9})", R"({"a":10})", R"({"a":10})"},
    {R"({"a":{"x":1}})", R"({"a":{"y":2}})", R"({"a":{"x":1,"y":2}})"},
    {R"({"a":{"x":{"n":1}}})", R"({"a":{"x":{"n":4,"m":0}}})", R"({"a":{"x":{"m":0,"n":4}}})"},
    {R"({"a":[1,2]})", R"({"a":[1,3]})", R"({"a":[1,3]})"},
    {R"({"a":"text"})", R"({"a":null})", R"({"a":"text"})"},
};

support::unknown_fields fields_of(const char* text) {
  return support::read_unknown_fields(json::parse(text), {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(mixed_builds)

BOOST_DATA_TEST_CASE(unknown_fields_are_merged_alike_in_both_orders, data::make(merge_cases),
                     each) {
  for (const bool swapped : {false, true}) {
    support::unknown_fields fields = fields_of(swapped ? each.other : each.held);
    support::merge_unknown_fields(fields, fields_of(swapped ? each.held : each.other));
    json merged = json::object();
    support::write_unknown_fields(merged, fields);
    BOOST_TEST(merged.dump() == each.merged);
  }
}

BOOST_AUTO_TEST_CASE(hub_passes_on_what_later_builds_report) {
  asio::io_context context;
  support::virtual_clock clock{context};
  viewing_node hub(clock, "hub");
  viewing_node receiver(clock, "receiver");
  for (const char* id : {"one", "two"}) {
    viewing_node later(clock, id);
    gateway::fleet_message request = later.next_message();
    later.view.complete_attach_request(request);
    hub.view.apply_attached(gateway::fleet_message::from_json(add_later_fields(request)));
  }
  gateway::fleet_message request = receiver.next_message();
  receiver.view.complete_attach_request(request);
  hub.view.apply_attached(request);
  gateway::fleet_message reply = hub.next_message();
  hub.view.complete_reply(request, reply);
  const json sent = json::parse(reply.to_json());
  BOOST_TEST(sent.at("sum").at("later") == (json{{"one", 5}, {"two", 5}, {"shared", 1}}));
  std::size_t found = 0;
  for (const json& member : sent.at("sec").at(0).at(3)) {
    if (member[0] == "one" || member[0] == "two") {
      ++found;
      BOOST_REQUIRE(member.size() == 15U);
      BOOST_TEST(member[13]["zone"] == 7);
      BOOST_TEST(member[14] == 3);
    }
  }
  BOOST_TEST(found == 2U);
  // The receiver passes them on too, should it become a hub.
  receiver.view.apply_reply(gateway::fleet_message::from_json(reply.to_json()));
  BOOST_TEST(receiver.view.others().at("one").status.unknown_elements == R"([{"zone":7},3])");
  BOOST_TEST(receiver.view.others_summary().unknown.contains("later"));
}

BOOST_AUTO_TEST_CASE(node_behind_a_hub_of_an_earlier_build_counts_as_one_of_that_build) {
  gateway::fleet_message message;
  message.sender = make_status("hub");
  message.sections = {{"hub", {1, 1}, {make_status("hub"), make_status("new")}}};
  const auto received =
      gateway::fleet_message::from_json(fakes::earlier_build::pass_on(message.to_json()));
  BOOST_TEST(received.sender.protocol == 0);
  BOOST_TEST(received.sections.at(0).members.at(1).protocol == 0);
  BOOST_TEST(received.sections.at(0).members.at(1).ready);
}

BOOST_DATA_TEST_CASE(recorded_messages_of_an_earlier_build_are_read, data::make(recorded_messages),
                     name) {
  const std::string text = fakes::recorded_build::read(name);
  const auto message = gateway::fleet_message::from_json(text);
  BOOST_TEST(message.sender.id.starts_with("edge-"));
  BOOST_TEST(message.sender.ready);
  BOOST_TEST(message.sender.protocol == 0);
  BOOST_TEST(message.config_version == 3U);
  BOOST_TEST(message.crash_digest > 0U);
  BOOST_TEST(message.summary.has_served);
  BOOST_TEST(message.summary.demand.contains({"shop", ""}));
  BOOST_TEST(!message.evacuations.has_value());
  BOOST_TEST(message.attaches == (std::string(name) == "attach-request.json"));
  BOOST_TEST(message.sections.size() == (message.attaches ? 0U : 3U));
  // The earlier build reads the same out of what this one writes.
  BOOST_TEST(json::parse(fakes::earlier_build::pass_on(message.to_json())) == json::parse(text));
}

BOOST_AUTO_TEST_CASE(recorded_crash_evidence_of_an_earlier_build_is_read) {
  const auto now = support::clock::time_point(60s);
  const std::string text = fakes::recorded_build::read("crashes.json");
  gateway::crash_evidence evidence;
  BOOST_TEST(evidence.merge_json(text, now));
  BOOST_TEST(evidence.records().size() == 3U);
  BOOST_TEST(evidence.proven_causes().contains(gateway::crash_cause{"shop", "deadly"}));
  BOOST_TEST(json::parse(fakes::earlier_build::pass_on_evidence(evidence.to_json(now))) ==
             json::parse(text));
  // The digest is compared with that of the earlier build's messages.
  const auto message =
      gateway::fleet_message::from_json(fakes::recorded_build::read("attach-reply.json"));
  BOOST_TEST(evidence.digest() == message.crash_digest);
}

BOOST_AUTO_TEST_CASE(crash_evidence_of_a_later_build_is_passed_on_whole) {
  const char* written = R"([["t1",5,"shop",1000,{"p":[1,200,false,true,"why"]},"kind",{"n":1}],)"
                        R"({"of another kind":1},["t2",6,"shop",2000,{"p":[1,200,false]}]])";
  gateway::crash_evidence evidence;
  BOOST_TEST(evidence.merge_json(written, support::clock::time_point(10s)));
  BOOST_TEST(evidence.records().size() == 2U);
  const json passed_on = json::parse(evidence.to_json(support::clock::time_point(10s)));
  BOOST_TEST(passed_on ==
             json::parse(R"([["t1",5,"shop",1000,{"p":[1,200,false,true,"why"]},"kind",)"
                         R"({"n":1}],["t2",6,"shop",2000,{"p":[1,200,false]}]])"));
  // What an earlier build has left out comes back with the evidence of another node.
  gateway::crash_evidence behind;
  behind.merge_json(fakes::earlier_build::pass_on_evidence(passed_on.dump()),
                    support::clock::time_point(10s));
  BOOST_TEST(behind.digest() != evidence.digest());
  BOOST_TEST(behind.merge_json(passed_on.dump(), support::clock::time_point(10s)));
  BOOST_TEST(behind.digest() == evidence.digest());
}

BOOST_AUTO_TEST_SUITE_END()
