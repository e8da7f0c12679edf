#pragma once

#include <string>

namespace camphorlug::net {

/// The data of the event that terminates a stream of generated text.
inline constexpr const char* end_of_stream = "[DONE]";

/// The first choice of one event in an OpenAI-style completion stream.
struct generation_event {
  /// The text that the event appends. Often empty in the last event.
  std::string text;
  /// True when the event has a finish reason.
  bool is_last = false;

  /// Parses an event's data. Unrecognised data yields an event without text.
  static generation_event parse(const std::string& data);
};

} // namespace camphorlug::net
