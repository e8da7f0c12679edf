#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/requests/request_outcome.h"

#include <chrono>
#include <string>

namespace camphorlug::requests {

/// Sends a response that this node generates: a problem with the outcome in
/// Camphorlug-Outcome and, if `retry_after` is positive, a Retry-After header.
void send_outcome(net::response_writer& writer, int status, request_outcome outcome,
                  std::string type, std::string detail, std::chrono::seconds retry_after);

} // namespace camphorlug::requests
