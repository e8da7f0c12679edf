#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/net/response_writer.h"

#include <string>

namespace camphorlug::net {

/// An error response in the problem+json format (RFC 9457).
struct problem {
  int status = 500;
  /// Short stable identifier for programs, such as `unknown-service`.
  std::string type;
  /// Human-readable description of the error and its remedy.
  std::string detail;
};

/// Sends `error` as the complete response, with the additional headers `extra`.
void send_problem(response_writer& writer, const problem& error, header_list extra = {});

/// Sends `body` as a complete application/json response.
void send_json(response_writer& writer, int status, std::string body);

} // namespace camphorlug::net
