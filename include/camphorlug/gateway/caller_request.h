#pragma once

#include "camphorlug/net/header_list.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// A request as a caller sent it, with what its headers mean.
struct caller_request {
  std::string method;
  /// Path and query, byte for byte.
  std::string target;
  /// Without the query.
  std::string path;
  std::string body;
  /// Headers that go on to the target unchanged.
  net::header_list forwarded_headers;
  std::string host;
  /// The caller's name for this attempt of its own; the target echoes it.
  std::string id;
  std::optional<std::string> key;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> time_limit;
  /// The model that is to answer; empty for plain services.
  std::string model;
  /// The last event of the stream that the caller has.
  std::optional<std::uint64_t> resume_after;
  std::size_t header_bytes = 0;
};

} // namespace camphorlug::gateway
