#include "replay/replay_event.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace camphorlug::replay {

static constexpr const char* kind_names[] = {"fail", "freeze", "leave", "remove",
                                             "add",  "dark",   "light", "version"};

std::string replay_event::to_json() const {
  nlohmann::ordered_json line;
  line["at_ms"] = at.count();
  line["event"] = kind_names[static_cast<int>(kind)];
  line["subject"] = subject;
  if (!fabric_domain.empty())
    line["fabric_domain"] = fabric_domain;
  if (freeze_duration.count() > 0)
    line["lasting_ms"] = freeze_duration.count();
  return line.dump();
}

static event_kind parse_kind(const std::string& name) {
  for (int i = 0; i < static_cast<int>(std::size(kind_names)); ++i) {
    if (name == kind_names[i])
      return static_cast<event_kind>(i);
  }
  throw std::runtime_error("unknown trace event: " + name);
}

replay_event replay_event::from_json(const std::string& line) {
  const auto value = nlohmann::json::parse(line);
  replay_event event;
  event.at = std::chrono::milliseconds(value.at("at_ms").get<std::int64_t>());
  event.kind = parse_kind(value.at("event"));
  event.subject = value.at("subject");
  event.fabric_domain = value.value("fabric_domain", "");
  event.freeze_duration = std::chrono::milliseconds(value.value("lasting_ms", std::int64_t{0}));
  return event;
}

std::vector<replay_event> read_trace(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot open trace file " + path);
  std::vector<replay_event> events;
  std::string line;
  while (std::getline(file, line))
    events.push_back(replay_event::from_json(line));
  return events;
}

} // namespace camphorlug::replay
