#pragma once

#include "camphorlug/net/response_writer.h"
#include "camphorlug/requests/request_outcome.h"

#include <chrono>
#include <string>

namespace camphorlug::requests {

/// Sends an answer that is the node's own: a problem with the outcome word and,
/// if it is above zero, a Retry-After.
void send_outcome(net::response_writer& writer, int status, request_outcome outcome,
                  std::string type, std::string detail, std::chrono::seconds retry_after);

} // namespace camphorlug::requests
