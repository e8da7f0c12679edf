#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::requests {

/// A place in a stream, as a caller gets it in an event's id.
struct stream_position {
  std::string organisation;
  std::string service;
  std::string group;
  /// Attempt id under which the engine knows the stream.
  std::string attempt;
  /// Index of the event that carries this position.
  std::size_t index = 0;
  /// Hash of all text up to and with this event.
  std::string text_hash;
};

/// The position as signed text.
std::string sign_position(const stream_position& position, std::string_view key);

/// Nothing if the text was not signed with `key`.
std::optional<stream_position> verify_position(std::string_view token, std::string_view key);

} // namespace camphorlug::requests
