#pragma once

#include "camphorlug/gateway/caller_request.h"
#include "camphorlug/gateway/send_attempt.h"
#include "camphorlug/gateway/target_response.h"
#include "camphorlug/net/client_request.h"
#include "camphorlug/net/http_exchange.h"
#include "camphorlug/net/server_request.h"

#include <chrono>
#include <optional>

namespace camphorlug::gateway {

/// Maps requests and responses to the headers and formats that callers and targets use.
class caller_protocol {
public:
  caller_protocol() = default;
  caller_protocol(const caller_protocol&) = delete;
  caller_protocol& operator=(const caller_protocol&) = delete;
  virtual ~caller_protocol() = default;

  /// Decodes a request received from a caller.
  virtual caller_request parse_request(net::server_request request) const = 0;

  /// Builds the request that is sent to a target.
  virtual net::client_request build_target_request(const caller_request& request,
                                                   const send_attempt& details) const = 0;

  /// Decodes the status and headers of the response to `request`.
  virtual target_response parse_response_head(const caller_request& request,
                                              const net::response_head& head) const = 0;

  /// Headers of a response that this node generates itself.
  virtual net::header_list
  local_response_headers(const caller_request& request,
                         std::optional<std::chrono::milliseconds> retry_after) const = 0;
};

} // namespace camphorlug::gateway
