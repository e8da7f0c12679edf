#include "camphorlug/net/body_framing.h"
#include "camphorlug/net/header_syntax.h"

#include "check.h"
#include "fuzzer.h"
#include "platform_caller_protocol.h"
#include "platform_target_notice.h"

using namespace camphorlug;

/// Reads `NAME: VALUE` lines up to an empty one. Leaves out the ones that the server and the client
/// refuse.
static net::header_list take_headers(fuzz::input_reader& input) {
  net::header_list headers;
  for (std::string line = input.take_line(); !line.empty(); line = input.take_line()) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos)
      continue;
    const std::string name = line.substr(0, colon);
    const std::string value = line.substr(colon + 2);
    if (net::is_token(name) && net::is_field_value(value))
      headers.add(name, value);
  }
  return headers;
}

/// The input is a method, a target and headers, an empty line, and the status and the headers of
/// the response. What is sent on must be valid again.
void fuzz::read_input(input_reader input) {
  const platform::platform_caller_protocol protocol;
  net::server_request received;
  received.method = input.take_line();
  received.target = input.take_line();
  received.path = received.target.substr(0, received.target.find('?'));
  received.headers = take_headers(input);
  const gateway::caller_request request = protocol.parse_request(std::move(received));
  gateway::send_attempt attempt;
  attempt.target_id = "t1";
  attempt.address = "127.0.0.1:1";
  attempt.resume_after = request.resume_after;
  for (const net::header& each : protocol.build_target_request(request, attempt).headers)
    fuzz::check(net::is_token(each.name) && net::is_field_value(each.value),
                "headers to targets are valid");
  net::response_head head;
  head.status = 100 + (input.take_byte() * 2) % 500;
  input.take_line();
  head.headers = take_headers(input);
  head.framing = net::framing_of(request.method, head);
  protocol.parse_response_head(request, head);
  platform::read_target_notice(head.status, head.headers);
}
