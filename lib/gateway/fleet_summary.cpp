#include "camphorlug/gateway/fleet_summary.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

using optional_age = std::optional<std::chrono::milliseconds>;

static void keep_smaller(optional_age& age, const optional_age& other,
                         std::chrono::nanoseconds elapsed) {
  if (!other)
    return;
  const auto grown = *other + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
  if (!age || grown < *age)
    age = grown;
}

void fleet_summary::add(const fleet_summary& other, std::chrono::nanoseconds elapsed) {
  for (const auto& [target, count] : other.loads)
    loads[target] += count;
  add_without_loads(other, elapsed);
}

void fleet_summary::add_without_loads(const fleet_summary& other,
                                      std::chrono::nanoseconds elapsed) {
  for (const auto& [pool, slots] : other.demand)
    demand[pool] += slots;
  stalled.insert(other.stalled.begin(), other.stalled.end());
  for (const auto& [target, nodes] : other.suspects)
    suspects[target] += nodes;
  for (const auto& [target, started_at_ms] : other.leaving) {
    std::int64_t& latest = leaving[target];
    latest = std::max(latest, started_at_ms);
  }
  keep_newest(limits, other.limits, elapsed);
  keep_newest(sightings, other.sightings, elapsed);
  if (leader.empty())
    leader = other.leader;
  has_served = has_served || other.has_served;
  keep_smaller(store_answer_age, other.store_answer_age, elapsed);
  keep_smaller(store_recovery_age, other.store_recovery_age, elapsed);
  support::merge_unknown_fields(unknown, other.unknown);
}

static nlohmann::json to_list(const slot_demand& demand) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [pool, slots] : demand)
    list.push_back({pool.service, pool.model, std::round(slots * 10) / 10});
  return list;
}

static slot_demand read_demand(const nlohmann::json& list) {
  slot_demand demand;
  for (const auto& entry : list)
    demand[{entry.at(0), entry.at(1)}] = entry.at(2);
  return demand;
}

static void write_age(nlohmann::json& value, const char* name, const optional_age& age) {
  if (age)
    value[name] = age->count();
}

static optional_age read_age(const nlohmann::json& value, const char* name) {
  const auto found = value.find(name);
  if (found == value.end())
    return std::nullopt;
  return std::chrono::milliseconds(found->get<std::int64_t>());
}

// The keys are short and empty fields are left out, because summaries cross data centres several
// times a second.
void to_json(nlohmann::json& value, const fleet_summary& summary) {
  value = nlohmann::json{{"load", summary.loads}, {"srv", summary.has_served}};
  if (!summary.demand.empty())
    value["need"] = to_list(summary.demand);
  if (!summary.stalled.empty())
    value["stall"] = summary.stalled;
  if (!summary.suspects.empty())
    value["sus"] = summary.suspects;
  if (!summary.leaving.empty())
    value["leave"] = summary.leaving;
  if (!summary.limits.empty())
    value["lim"] = summary.limits;
  if (!summary.sightings.empty())
    value["seen"] = summary.sightings;
  if (!summary.leader.empty())
    value["lead"] = summary.leader;
  write_age(value, "store", summary.store_answer_age);
  write_age(value, "back", summary.store_recovery_age);
  support::write_unknown_fields(value, summary.unknown);
}

void from_json(const nlohmann::json& value, fleet_summary& summary) {
  value.at("load").get_to(summary.loads);
  value.at("srv").get_to(summary.has_served);
  if (const auto need = value.find("need"); need != value.end())
    summary.demand = read_demand(*need);
  if (const auto stalled = value.find("stall"); stalled != value.end())
    stalled->get_to(summary.stalled);
  if (const auto suspects = value.find("sus"); suspects != value.end())
    suspects->get_to(summary.suspects);
  if (const auto leaving = value.find("leave"); leaving != value.end())
    leaving->get_to(summary.leaving);
  if (const auto limits = value.find("lim"); limits != value.end())
    limits->get_to(summary.limits);
  if (const auto sightings = value.find("seen"); sightings != value.end())
    sightings->get_to(summary.sightings);
  summary.leader = value.value("lead", "");
  summary.store_answer_age = read_age(value, "store");
  summary.store_recovery_age = read_age(value, "back");
  // All fields above; others belong to later builds.
  summary.unknown =
      support::read_unknown_fields(value, {"load", "srv", "need", "stall", "sus", "leave", "lim",
                                           "seen", "lead", "store", "back"});
}

} // namespace camphorlug::gateway
