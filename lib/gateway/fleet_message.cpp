#include "camphorlug/gateway/fleet_message.h"

#include "camphorlug/support/json_text.h"

#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

static nlohmann::json to_list(const std::vector<fleet_section>& sections) {
  nlohmann::json list = nlohmann::json::array();
  for (const fleet_section& each : sections)
    list.push_back(
        {each.owner, each.stamp.incarnation, each.stamp.version, each.members, each.age.count()});
  return list;
}

static std::vector<fleet_section> read_sections(const nlohmann::json& list) {
  std::vector<fleet_section> sections;
  for (const auto& each : list)
    sections.push_back({each.at(0),
                        {each.at(1), each.at(2)},
                        each.at(3),
                        std::chrono::milliseconds(each.at(4).get<std::int64_t>())});
  return sections;
}

static void write_span(nlohmann::json& value, const char* name,
                       const std::optional<std::chrono::milliseconds>& span) {
  if (span)
    value[name] = span->count();
}

static std::optional<std::chrono::milliseconds> read_span(const nlohmann::json& value,
                                                          const char* name) {
  const auto found = value.find(name);
  if (found == value.end())
    return std::nullopt;
  return std::chrono::milliseconds(found->get<std::int64_t>());
}

std::string fleet_message::to_json() const {
  nlohmann::json stamps = nlohmann::json::object();
  for (const auto& [owner, stamp] : known)
    stamps[owner] = {stamp.incarnation, stamp.version};
  nlohmann::json value{{"from", sender},         {"seq", sequence}, {"cfg", config_version},
                       {"ent", entries_version}, {"sum", summary},  {"have", stamps}};
  if (attaches)
    value["attach"] = true;
  write_span(value, "cfg_stale", config_staleness);
  write_span(value, "ent_stale", entries_staleness);
  if (store_era > 0)
    value["era"] = store_era;
  if (crash_digest > 0)
    value["crash"] = crash_digest;
  if (evacuations)
    value["evac"] = *evacuations;
  if (nodes)
    value["nodes"] = *nodes;
  if (!cold.empty())
    value["cold"] = cold;
  if (!sections.empty())
    value["sec"] = to_list(sections);
  for (const auto& [owner, age] : owners)
    value["own"][owner] = age.count();
  return support::to_json_text(value);
}

fleet_message fleet_message::from_json(const std::string& text) {
  const auto value = nlohmann::json::parse(text);
  fleet_message message;
  message.attaches = value.value("attach", false);
  value.at("from").get_to(message.sender);
  value.at("seq").get_to(message.sequence);
  value.at("cfg").get_to(message.config_version);
  value.at("ent").get_to(message.entries_version);
  message.config_staleness = read_span(value, "cfg_stale");
  message.entries_staleness = read_span(value, "ent_stale");
  message.store_era = value.value("era", std::uint64_t{0});
  message.crash_digest = value.value("crash", std::uint64_t{0});
  if (const auto evacuations = value.find("evac"); evacuations != value.end())
    message.evacuations = evacuations->get<reported_evacuations>();
  if (const auto nodes = value.find("nodes"); nodes != value.end())
    message.nodes = nodes->get<fleet_size>();
  if (const auto cold = value.find("cold"); cold != value.end())
    cold->get_to(message.cold);
  value.at("sum").get_to(message.summary);
  for (const auto& [owner, stamp] : value.at("have").items())
    message.known[owner] = {stamp.at(0), stamp.at(1)};
  if (const auto sections = value.find("sec"); sections != value.end())
    message.sections = read_sections(*sections);
  if (const auto owners = value.find("own"); owners != value.end())
    for (const auto& [owner, age] : owners->items())
      message.owners[owner] = std::chrono::milliseconds(age.get<std::int64_t>());
  return message;
}

} // namespace camphorlug::gateway
