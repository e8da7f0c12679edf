#pragma once

#include "camphorlug/net/header_list.h"
#include "camphorlug/net/response_writer.h"

#include <string>

namespace camphorlug::net {

/// An answer in problem+json (RFC 9457).
struct problem {
  int status = 500;
  /// Short and stable, for programs: `unknown-service`.
  std::string type;
  /// For people: what was wrong and what to do.
  std::string detail;
};

/// Sends `what` as the whole answer, with `extra` headers.
void send_problem(response_writer& writer, const problem& what, header_list extra = {});

/// Sends `body` as an application/json answer.
void send_json(response_writer& writer, int status, std::string body);

} // namespace camphorlug::net
