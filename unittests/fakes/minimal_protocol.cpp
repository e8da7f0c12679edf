#include "fakes/minimal_protocol.h"

#include <sstream>

namespace camphorlug::fakes {

gateway::caller_request minimal_protocol::parse_request(net::server_request request) const {
  gateway::caller_request read;
  read.method = request.method;
  read.path = request.path;
  read.request_target = request.target;
  read.body = std::move(request.body);
  read.host = request.headers.find("Host").value_or("");
  read.id = request.headers.find("Id").value_or("");
  read.key = request.headers.find("Key");
  read.model = request.headers.find("Model").value_or("");
  std::istringstream parts(request.headers.find("Parts").value_or(""));
  for (std::string part; parts >> part;)
    read.prompt_parts.push_back(part);
  if (const auto after = request.headers.find("After"))
    read.resume_after = std::stoull(*after);
  if (const auto patience = request.headers.find("Patience"))
    read.time_limit = std::chrono::milliseconds(std::stoll(*patience));
  return read;
}

net::client_request
minimal_protocol::build_target_request(const gateway::caller_request& request,
                                       const gateway::send_attempt& details) const {
  net::client_request outgoing;
  outgoing.address = details.address;
  outgoing.method = request.method;
  outgoing.target = request.request_target;
  outgoing.body = request.body;
  outgoing.headers.add("Id", request.id);
  outgoing.headers.add("Organisation", details.organisation);
  outgoing.headers.add("Left", std::to_string(details.time_left.count()));
  std::string parts;
  for (const std::string& part : request.prompt_parts)
    parts += (parts.empty() ? "" : " ") + part;
  if (!parts.empty())
    outgoing.headers.add("Parts", parts);
  outgoing.connection =
      details.reuse_connection ? net::connection_use::pooled : net::connection_use::fresh;
  if (details.resume_after)
    outgoing.headers.add("After", std::to_string(*details.resume_after));
  return outgoing;
}

gateway::target_response
minimal_protocol::parse_response_head(const gateway::caller_request& request,
                                      const net::response_head& head) const {
  gateway::target_response answer;
  answer.status = head.status;
  answer.not_run = head.headers.find("Not-Run").has_value();
  answer.wrong_instance = head.status == 421;
  answer.reads_as_not_run =
      head.status == 408 || head.status == 421 || head.status == 429 || head.status == 503;
  answer.valid = head.headers.find("Id") == request.id || answer.not_run || answer.wrong_instance;
  answer.notice.leaving = head.headers.find("Leaving").has_value();
  if (const auto pause = head.headers.find("Pause-Ms"))
    answer.notice.retry_after = std::chrono::milliseconds(std::stoll(*pause));
  if (const auto limit = head.headers.find("Limit"))
    answer.notice.request_limit = std::stod(*limit);
  answer.forwarded_headers = head.headers;
  return answer;
}

net::header_list minimal_protocol::local_response_headers(
    const gateway::caller_request&, std::optional<std::chrono::milliseconds> retry_after) const {
  net::header_list headers;
  if (retry_after)
    headers.add("Retry-After-Ms", std::to_string(retry_after->count()));
  return headers;
}

} // namespace camphorlug::fakes
