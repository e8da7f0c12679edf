#pragma once

#include "camphorlug/net/header_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorlug::net {

/// A complete request received from a client.
struct server_request {
  std::string method;
  /// The path and query as received.
  std::string target;
  /// The path without the query.
  std::string path;
  /// The query without the question mark; empty when there is none.
  std::string query;
  header_list headers;
  std::string body;
  /// Identifies the connection among those of one server.
  std::uint64_t connection_id = 0;

  /// Returns the value of the query parameter `name` without percent-decoding.
  std::optional<std::string> query_value(std::string_view name) const;
};

} // namespace camphorlug::net
