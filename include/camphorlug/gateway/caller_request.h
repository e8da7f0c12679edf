#pragma once

#include "camphorlug/gateway/home_regions.h"
#include "camphorlug/net/header_list.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A request received from a caller, with its headers decoded.
struct caller_request {
  std::string method;
  /// Path and query, unmodified.
  std::string request_target;
  /// Path without the query.
  std::string path;
  std::string body;
  /// Headers that are forwarded to the target unchanged.
  net::header_list forwarded_headers;
  std::string host;
  /// Identifies this attempt of the caller. The target echoes it in its response.
  std::string id;
  std::optional<std::string> key;
  /// Longest time that the caller waits for the response.
  std::optional<std::chrono::milliseconds> time_limit;
  /// Requested model; empty for a service without groups.
  std::string model;
  /// Ids of the parts of the prompt in order, without the last one, which belongs to this request
  /// or its session alone. Callers choose them; requests with the same part share an id.
  std::vector<std::string> prompt_parts;
  /// Number of tokens of the prompt; 0 if the caller does not say it.
  double prompt_tokens = 0;
  /// Id of the last stream event that the caller has received.
  std::optional<std::uint64_t> resume_after;
  std::size_t header_bytes = 0;
  /// Holder for which the node's memory is counted: the organisation, or the connection if the
  /// configuration names no organisations.
  std::string memory_holder{};
  /// Regions in which the route and the organisation allow targets and relays.
  home_regions homes{};

  /// Longest time until the final response on a route with that timeout.
  std::chrono::milliseconds time_limit_within(std::chrono::milliseconds timeout) const {
    return std::min(time_limit.value_or(timeout), timeout);
  }
};

} // namespace camphorlug::gateway
