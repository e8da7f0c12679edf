#pragma once

#include <string>

namespace camphorlug::net {

/// Data of the event that ends a stream of generated text.
inline constexpr const char* end_of_stream = "[DONE]";

/// What one event of an OpenAI-style stream says of its first choice.
struct generation_event {
  /// Text that the event adds; often empty in the last one.
  std::string text;
  /// It gives the reason why generation finished.
  bool is_last = false;

  /// Reads an event's data; anything unknown reads as no text.
  static generation_event parse(const std::string& data);
};

} // namespace camphorlug::net
