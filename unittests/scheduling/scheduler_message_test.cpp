#include "camphorlug/scheduling/scheduler_message.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using gateway::scheduled_slot;
using scheduling::scheduler_message;

namespace {

const support::clock::time_point now{100s};

scheduler_message full_message() {
  scheduler_message message;
  message.node = "n1";
  message.pool = {"svc", "large"};
  message.sequence = 17;
  message.released = {"t1", "t1", "t2"};
  message.held = gateway::target_loads{{"t1", 3}, {"t3", 1}};
  scheduling::slot_ask& ask = message.ask.emplace();
  ask.node = "n1";
  ask.data_centre = "dc-a";
  ask.organisation = "org";
  ask.priority = 2;
  ask.in_time_until = now + 120ms;
  ask.latest_start = now + 900ms;
  ask.prompt_tokens = 1420;
  ask.avoided = {"t9"};
  return message;
}

scheduler_message read(const nlohmann::json& value) {
  return scheduler_message::from_json(value.dump(), now);
}

nlohmann::json full_json() {
  return nlohmann::json::parse(full_message().to_json(now));
}

} // namespace

/// The reader's clock counts from another start.
BOOST_DATA_TEST_CASE(messages_survive_the_wire, data::make({0, 1, 1000000}), clock_offset_s) {
  const support::clock::time_point other_now = now + std::chrono::seconds(clock_offset_s);
  const scheduler_message sent = full_message();
  const auto received = scheduler_message::from_json(sent.to_json(now), other_now);
  BOOST_TEST(received.node == sent.node);
  BOOST_TEST((received.pool == sent.pool));
  BOOST_TEST(received.sequence == 17u);
  BOOST_TEST(received.released == sent.released);
  BOOST_TEST((received.held == sent.held));
  BOOST_REQUIRE(received.ask.has_value());
  BOOST_TEST(received.ask->node == "n1");
  BOOST_TEST(received.ask->data_centre == "dc-a");
  BOOST_TEST(received.ask->organisation == "org");
  BOOST_TEST(received.ask->priority == 2);
  BOOST_TEST((received.ask->in_time_until == other_now + 120ms));
  BOOST_TEST((received.ask->latest_start == other_now + 900ms));
  BOOST_TEST(received.ask->prompt_tokens == 1420);
  BOOST_TEST(received.ask->avoided == sent.ask->avoided);
}

BOOST_AUTO_TEST_CASE(message_without_options_survives_the_wire) {
  scheduler_message sent;
  sent.node = "n1";
  sent.pool = {"svc", ""};
  const auto received = scheduler_message::from_json(sent.to_json(now), now);
  BOOST_TEST(received.released.empty());
  BOOST_TEST(!received.held);
  BOOST_TEST(!received.ask);
}

/// An empty report says that the node holds nothing; a missing one says nothing.
BOOST_AUTO_TEST_CASE(empty_report_differs_from_none) {
  scheduler_message sent;
  sent.held.emplace();
  const auto received = scheduler_message::from_json(sent.to_json(now), now);
  BOOST_TEST(received.held.has_value());
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_ignored) {
  nlohmann::json value = full_json();
  value["later"] = {{"a", 1}};
  value["ask"]["later"] = nlohmann::json::array({1, 2});
  const auto received = read(value);
  BOOST_TEST((received.held == full_message().held));
  BOOST_TEST(received.ask->organisation == "org");
}

BOOST_AUTO_TEST_CASE(missing_fields_of_an_ask_have_defaults) {
  const auto received = read({{"n", "n1"}, {"s", "svc"}, {"m", ""}, {"ask", {{"o", "org"}}}});
  BOOST_TEST(received.ask->priority == scheduling::slot_ask{}.priority);
  BOOST_TEST((received.ask->in_time_until == now));
  BOOST_TEST((received.ask->latest_start == now));
  BOOST_TEST(received.ask->prompt_tokens == 0);
  BOOST_TEST(received.ask->avoided.empty());
}

BOOST_DATA_TEST_CASE(unreadable_messages_are_rejected,
                     data::make({"", "{", "[]", "null", "7", R"({"n":"a","s":"b"})",
                                 R"({"n":1,"s":"b","m":""})", R"({"n":"a","s":"b","m":"","ask":3})",
                                 R"({"n":"a","s":"b","m":"","rel":"x"})",
                                 R"({"n":"a","s":"b","m":"","held":[1]})",
                                 R"({"n":"a","s":"b","m":"","ask":{"t":"many"}})"}),
                     text) {
  BOOST_CHECK_THROW(scheduler_message::from_json(text, now), nlohmann::json::exception);
}

/// A number out of range is cut to the range, so that one bad message does no lasting harm.
BOOST_DATA_TEST_CASE(absurd_times_are_cut,
                     data::make({"-1", "-9223372036854775808", "9223372036854775807", "1e300"}),
                     number) {
  nlohmann::json value = full_json();
  value["ask"]["i"] = value["ask"]["w"] = nlohmann::json::parse(number);
  const auto received = read(value);
  BOOST_TEST((received.ask->latest_start >= now));
  BOOST_TEST((received.ask->latest_start <= now + 60s));
  BOOST_TEST((received.ask->in_time_until <= now + 60s));
}

BOOST_DATA_TEST_CASE(absurd_token_counts_are_cut,
                     data::make({"-5", "-1e300", "1e300", "18446744073709551615"}), number) {
  nlohmann::json value = full_json();
  value["ask"]["t"] = nlohmann::json::parse(number);
  const double tokens = read(value).ask->prompt_tokens;
  BOOST_TEST(tokens >= 0);
  BOOST_TEST(tokens <= scheduling::max_prompt_tokens);
}

BOOST_DATA_TEST_CASE(absurd_priorities_are_cut,
                     data::make({"-7", "4000000000", "-9223372036854775808"}), number) {
  nlohmann::json value = full_json();
  value["ask"]["p"] = nlohmann::json::parse(number);
  const int priority = read(value).ask->priority;
  BOOST_TEST(priority >= 0);
  BOOST_TEST(priority <= 9);
}

BOOST_DATA_TEST_CASE(absurd_counts_of_held_slots_are_cut,
                     data::make({"-1", "-9223372036854775808", "18446744073709551615", "1e300"}),
                     number) {
  nlohmann::json value = full_json();
  value["held"] = {{"t1", nlohmann::json::parse(number)}, {"t2", 2}};
  const auto received = read(value);
  BOOST_TEST(received.held->at("t1") <= scheduling::max_held_slots);
  BOOST_TEST(received.held->at("t2") == 2u);
}

BOOST_AUTO_TEST_CASE(answers_survive_the_wire) {
  scheduled_slot granted;
  granted.result = scheduled_slot::outcome::granted;
  granted.target.id = "t1";
  const auto read_grant = scheduling::answer_from_json(scheduling::to_json(granted));
  BOOST_TEST((read_grant.result == scheduled_slot::outcome::granted));
  BOOST_TEST(read_grant.target.id == "t1");

  scheduled_slot refused;
  refused.result = scheduled_slot::outcome::refused;
  refused.retry_after = 1234ms;
  const auto read_refusal = scheduling::answer_from_json(scheduling::to_json(refused));
  BOOST_TEST((read_refusal.result == scheduled_slot::outcome::refused));
  BOOST_TEST((read_refusal.retry_after == 1234ms));

  const auto none = scheduling::answer_from_json(scheduling::to_json(scheduled_slot{}));
  BOOST_TEST((none.result == scheduled_slot::outcome::unavailable));
}

BOOST_DATA_TEST_CASE(absurd_waits_in_answers_are_cut,
                     data::make({R"({"wait":-5})", R"({"wait":9223372036854775807})",
                                 R"({"wait":-9223372036854775808})", R"({"wait":1e300})"}),
                     text) {
  const auto answer = scheduling::answer_from_json(text);
  BOOST_TEST((answer.result == scheduled_slot::outcome::refused));
  BOOST_TEST((answer.retry_after >= 0ns));
  BOOST_TEST((answer.retry_after <= 60s));
}

BOOST_DATA_TEST_CASE(unreadable_answers_are_rejected,
                     data::make({"", "{", R"({"t":7})", R"({"wait":"long"})"}), text) {
  BOOST_CHECK_THROW(scheduling::answer_from_json(text), nlohmann::json::exception);
}
