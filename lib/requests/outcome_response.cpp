#include "camphorlug/requests/outcome_response.h"

#include "camphorlug/net/problem.h"

namespace camphorlug::requests {

void send_outcome(net::response_writer& writer, int status, request_outcome outcome,
                  std::string type, std::string detail, std::chrono::seconds retry_after) {
  net::header_list headers;
  headers.add("Camphorlug-Outcome", to_string(outcome));
  if (retry_after.count() > 0)
    headers.add("Retry-After", std::to_string(retry_after.count()));
  net::send_problem(writer, {status, std::move(type), std::move(detail)}, std::move(headers));
}

} // namespace camphorlug::requests
