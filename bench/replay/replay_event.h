#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace camphorlug::replay {

/// What happens to an instance, a fabric domain or the document.
enum class event_kind {
  /// The instance dies and is delisted.
  fail,
  /// The instance stops answering for a while.
  freeze,
  /// The instance will be taken away; it gets no new work.
  leave,
  /// The instance is taken away.
  remove,
  /// A new instance appears in the domain.
  add,
  /// All instances of the domain stop answering.
  domain_down,
  /// The domain's instances are back with empty memories.
  domain_up,
  /// The document asks for another version.
  version,
};

/// One event of a trace; a line of JSON.
struct replay_event {
  std::chrono::milliseconds at{0};
  event_kind kind = event_kind::fail;
  /// Instance, domain or version.
  std::string subject;
  /// Domain of an added instance.
  std::string fabric_domain;
  /// How long a freeze lasts.
  std::chrono::milliseconds freeze_duration{0};

  std::string to_json() const;
  /// Throws std::runtime_error.
  static replay_event from_json(const std::string& line);
};

/// Reads a trace file. Throws std::runtime_error.
std::vector<replay_event> read_trace(const std::string& path);

} // namespace camphorlug::replay
