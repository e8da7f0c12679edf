#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::requests {

/// Position in a stream, which the caller receives as the id of an event.
struct stream_position {
  std::string organisation;
  std::string service;
  std::string group;
  /// Id of the attempt, by which the engine identifies the stream.
  std::string attempt;
  /// Index of the event that carries this position.
  std::size_t index = 0;
  /// Hash of all text up to and including this event.
  std::string text_hash;
};

/// Encodes a position as signed text.
std::string sign_position(const stream_position& position, std::string_view key);

/// Decodes a signed position. Returns nothing if it is malformed or was not signed
/// with `key`.
std::optional<stream_position> verify_position(std::string_view token, std::string_view key);

} // namespace camphorlug::requests
