#include "camphorlug/gateway/node_status.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

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

// The keys are short because several statuses cross data centres every second.
std::string node_status::to_json() const {
  return nlohmann::json{{"id", id},
                        {"dc", data_centre},
                        {"pub", public_address},
                        {"peer", peer_address},
                        {"inc", incarnation},
                        {"seq", sequence},
                        {"ready", ready},
                        {"leave", leaving},
                        {"cfg", config_version},
                        {"ent", entries_version},
                        {"lead", leads},
                        {"srv", has_served},
                        {"load", loads},
                        {"need", to_list(demand)},
                        {"stall", stalled},
                        {"sus", suspects}}
      .dump();
}

node_status node_status::from_json(const std::string& text) {
  const auto value = nlohmann::json::parse(text);
  node_status status;
  value.at("id").get_to(status.id);
  value.at("dc").get_to(status.data_centre);
  value.at("pub").get_to(status.public_address);
  value.at("peer").get_to(status.peer_address);
  value.at("inc").get_to(status.incarnation);
  value.at("seq").get_to(status.sequence);
  value.at("ready").get_to(status.ready);
  value.at("leave").get_to(status.leaving);
  value.at("cfg").get_to(status.config_version);
  value.at("ent").get_to(status.entries_version);
  value.at("lead").get_to(status.leads);
  value.at("srv").get_to(status.has_served);
  value.at("load").get_to(status.loads);
  status.demand = read_demand(value.at("need"));
  value.at("stall").get_to(status.stalled);
  value.at("sus").get_to(status.suspects);
  return status;
}

} // namespace camphorlug::gateway
