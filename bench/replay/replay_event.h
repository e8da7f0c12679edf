#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace camphorlug::replay {

/// Kinds of events; each affects an instance, a fabric domain or the document.
enum class event_kind {
  /// The instance fails and is removed from the list.
  fail,
  /// The instance stops responding for `freeze_duration`.
  freeze,
  /// The instance is about to be removed and gets no new work.
  leave,
  /// The instance is removed.
  remove,
  /// A new instance is added to the domain.
  add,
  /// All instances of the domain stop responding. Named "dark" in traces.
  domain_down,
  /// The domain's instances respond again without any loaded shard. Named "light" in traces.
  domain_up,
  /// The document requests another model version.
  version,
};

/// One event of a trace, stored as a line of JSON.
struct replay_event {
  std::chrono::milliseconds at{0};
  event_kind kind = event_kind::fail;
  /// The instance, domain or version that the event applies to.
  std::string subject;
  /// Domain of an added instance.
  std::string fabric_domain;
  std::chrono::milliseconds freeze_duration{0};

  std::string to_json() const;
  /// Throws std::runtime_error for an unknown event and nlohmann::json::exception for malformed
  /// JSON.
  static replay_event from_json(const std::string& line);
};

/// Reads a trace file. Throws std::runtime_error if it cannot be opened.
std::vector<replay_event> read_trace(const std::string& path);

} // namespace camphorlug::replay
