#pragma once

#include "camphorlug/net/header_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::net {

/// A whole request as a caller sent it.
struct server_request {
  std::string method;
  /// Path and query as they were sent.
  std::string target;
  /// Without the query part.
  std::string path;
  /// Without the question mark; empty when there is none.
  std::string query;
  header_list headers;
  std::string body;
  /// Tells the connections of one listener apart.
  std::uint64_t connection = 0;

  /// The value of `name` in the query part, undecoded.
  std::optional<std::string> query_value(std::string_view name) const;
};

} // namespace camphorlug::net
