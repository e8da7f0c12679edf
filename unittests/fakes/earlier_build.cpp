#include "fakes/earlier_build.h"

#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/scheduling/scheduler_message.h"

#include <nlohmann/json.hpp>

namespace camphorlug::fakes::earlier_build {

using nlohmann::json;

static json keep_members(const json& object, std::initializer_list<const char*> names) {
  json kept = json::object();
  for (const char* name : names) {
    if (const auto found = object.find(name); found != object.end())
      kept[name] = *found;
  }
  return kept;
}

static json keep_elements(const json& array, std::size_t count) {
  json kept = json::array();
  for (std::size_t i = 0; i < count; ++i)
    kept.push_back(array.at(i));
  return kept;
}

static constexpr std::size_t status_elements = 11;

std::string pass_on(const std::string& fleet_message) {
  json message =
      keep_members(json::parse(fleet_message), {"from", "seq", "cfg", "ent", "sum", "have",
                                                "attach", "era", "crash", "sec", "own"});
  message["from"] = keep_elements(message.at("from"), status_elements);
  message["sum"] = keep_members(message.at("sum"), {"load", "srv", "need", "stall", "sus", "leave",
                                                    "lim", "lead", "store", "back"});
  if (message.contains("sec")) {
    for (json& section : message["sec"]) {
      for (json& member : section.at(3))
        member = keep_elements(member, status_elements);
    }
  }
  return message.dump();
}

bool knows_path(const std::string& path) {
  return path != scheduling::slots_path && path != gateway::trials_path;
}

std::string pass_on_evidence(const std::string& evidence) {
  json records = json::parse(evidence);
  for (json& record : records) {
    record = keep_elements(record, 5);
    for (auto& [id, suspect] : record.at(4).items())
      suspect = keep_elements(suspect, 3);
  }
  return records.dump();
}

} // namespace camphorlug::fakes::earlier_build
