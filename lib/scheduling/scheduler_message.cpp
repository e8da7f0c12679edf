#include "camphorlug/scheduling/scheduler_message.h"

#include "camphorlug/scheduling/fair_order.h"
#include "camphorlug/support/json_text.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace camphorlug::scheduling {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longer waits are cut to this, so that a bad number cannot block a place in the queue.
static constexpr milliseconds max_wait{60'000};

/// Reads a number of any type and size as the nearest one in the range.
static double read_number(const json& value, double lowest, double highest) {
  return std::clamp(value.get<double>(), lowest, highest);
}

static milliseconds read_wait(const json& value) {
  return milliseconds(
      static_cast<std::int64_t>(read_number(value, 0, static_cast<double>(max_wait.count()))));
}

static gateway::target_loads read_held(const json& value) {
  gateway::target_loads held;
  for (const auto& [target, count] : value.get<std::map<std::string, json>>())
    held[target] = static_cast<std::size_t>(read_number(count, 0, max_held_slots));
  return held;
}

// The keys are short, because nodes send several messages for each request.
std::string scheduler_message::to_json(support::clock::time_point now) const {
  json value{{"n", node}, {"s", pool.service}, {"m", pool.model}, {"q", sequence}};
  if (!released.empty())
    value["rel"] = released;
  if (held)
    value["held"] = *held;
  if (ask) {
    const auto in_time = std::chrono::duration_cast<milliseconds>(ask->in_time_until - now);
    const auto wait = std::chrono::duration_cast<milliseconds>(ask->latest_start - now);
    value["ask"] = {{"d", ask->data_centre}, {"o", ask->organisation},
                    {"p", ask->priority},    {"i", std::max<std::int64_t>(in_time.count(), 0)},
                    {"w", wait.count()},     {"t", ask->prompt_tokens},
                    {"x", ask->avoided}};
  }
  return support::to_json_text(value);
}

scheduler_message scheduler_message::from_json(const std::string& text,
                                               support::clock::time_point now) {
  const json value = json::parse(text);
  scheduler_message message;
  value.at("n").get_to(message.node);
  value.at("s").get_to(message.pool.service);
  value.at("m").get_to(message.pool.model);
  message.sequence = value.value("q", std::uint64_t{0});
  message.released = value.value("rel", std::vector<std::string>());
  if (value.contains("held"))
    message.held = read_held(value["held"]);
  if (const auto found = value.find("ask"); found != value.end()) {
    slot_ask ask;
    ask.node = message.node;
    ask.data_centre = found->value("d", "");
    ask.organisation = found->value("o", "");
    ask.priority = static_cast<int>(
        read_number(found->value("p", json(ask.priority)), 0, fair_order::max_priority));
    const auto read_time = [&](const char* name) {
      return now + read_wait(found->value(name, json(0)));
    };
    ask.in_time_until = read_time("i");
    ask.latest_start = read_time("w");
    ask.prompt_tokens = read_number(found->value("t", json(0)), 0, max_prompt_tokens);
    ask.avoided = found->value("x", std::set<std::string>());
    message.ask = std::move(ask);
  }
  return message;
}

std::string to_json(const gateway::scheduled_slot& answer) {
  json value{{"e", 1}};
  if (answer.result == gateway::scheduled_slot::outcome::granted)
    value["t"] = answer.target.id;
  else if (answer.result == gateway::scheduled_slot::outcome::refused)
    value["wait"] = std::chrono::duration_cast<milliseconds>(answer.retry_after).count();
  return support::to_json_text(value);
}

bool begins_early(const std::string& answer) {
  return json::parse(answer).contains("e");
}

gateway::scheduled_slot answer_from_json(const std::string& text) {
  const json value = json::parse(text);
  gateway::scheduled_slot answer;
  if (value.contains("t")) {
    answer.result = gateway::scheduled_slot::outcome::granted;
    value["t"].get_to(answer.target.id);
  } else if (value.contains("wait")) {
    answer.result = gateway::scheduled_slot::outcome::refused;
    answer.retry_after = read_wait(value["wait"]);
  }
  return answer;
}

} // namespace camphorlug::scheduling
