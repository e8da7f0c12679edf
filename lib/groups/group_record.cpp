#include "camphorlug/groups/group_record.h"

#include <nlohmann/json.hpp>

namespace camphorlug::groups {

using targets::group_member;

const char* to_string(group_state state) {
  switch (state) {
  case group_state::loading:
    return "loading";
  case group_state::serving:
    return "serving";
  case group_state::draining:
    return "draining";
  case group_state::dissolved:
    return "dissolved";
  }
  return "dissolved";
}

static group_state parse_state(const std::string& name) {
  for (const group_state state : {group_state::loading, group_state::serving, group_state::draining,
                                  group_state::dissolved}) {
    if (name == to_string(state))
      return state;
  }
  throw std::runtime_error("not a group state: " + name);
}

static nlohmann::json member_json(const group_member& member) {
  return {{"instance", member.instance}, {"address", member.address}};
}

static group_member parse_member(const nlohmann::json& value) {
  return {value.at("instance"), value.at("address")};
}

std::string group_record::to_json() const {
  nlohmann::json value{{"id", id},
                       {"service", service},
                       {"pool", pool},
                       {"state", to_string(state)},
                       {"model", model},
                       {"version", version},
                       {"fabric_domain", fabric_domain},
                       {"data_centre", data_centre},
                       {"members", nlohmann::json::array()},
                       {"standbys", nlohmann::json::array()},
                       {"number", number},
                       {"reason", reason}};
  for (const group_member& member : members)
    value["members"].push_back(member_json(member));
  for (const group_standby& standby : standbys)
    value["standbys"].push_back(
        {{"rank", standby.rank}, {"instance", member_json(standby.member)}});
  return value.dump();
}

group_record group_record::from_json(const std::string& json) {
  try {
    const auto value = nlohmann::json::parse(json);
    group_record record;
    record.id = value.at("id");
    record.service = value.at("service");
    record.pool = value.at("pool");
    record.state = parse_state(value.at("state"));
    record.model = value.at("model");
    record.version = value.at("version");
    record.fabric_domain = value.at("fabric_domain");
    record.data_centre = value.at("data_centre");
    record.number = value.at("number");
    record.reason = value.at("reason");
    for (const auto& member : value.at("members"))
      record.members.push_back(parse_member(member));
    for (const auto& standby : value.at("standbys"))
      record.standbys.push_back({standby.at("rank"), parse_member(standby.at("instance"))});
    if (record.members.empty())
      throw std::runtime_error("not a group record: it has no members");
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("not a group record: ") + error.what());
  }
}

} // namespace camphorlug::groups
