#include "delayed_instance_list.h"

namespace camphorlug::standins {

static constexpr std::chrono::seconds heartbeat_timeout{3};
static constexpr std::chrono::seconds max_lag{60};

void delayed_instance_list::put(const std::string& id, std::string json, bool is_static,
                                support::clock::time_point now) {
  entries_[id] = {std::move(json), is_static, now};
}

void delayed_instance_list::remove(const std::string& id) {
  entries_.erase(id);
}

void delayed_instance_list::take_snapshot(support::clock::time_point now) {
  std::erase_if(entries_, [now](const auto& each) {
    return !each.second.is_static && now - each.second.heartbeat_at > heartbeat_timeout;
  });
  std::string json = "{\"instances\":[";
  for (const auto& [id, entry] : entries_)
    json += (json.back() == '[' ? "" : ",") + entry.json;
  snapshots_.push_back({now, json + "]}\n"});
  while (snapshots_.size() > 1 && now - snapshots_[1].at > max_lag)
    snapshots_.pop_front();
}

std::string delayed_instance_list::read(support::clock::time_point now,
                                        std::chrono::nanoseconds lag) const {
  std::string json = "{\"instances\":[]}\n";
  for (const snapshot& each : snapshots_) {
    if (now - each.at < lag)
      break;
    json = each.json;
  }
  return json;
}

} // namespace camphorlug::standins
