#include "request_command.h"

#include "camphorlug/net/transport_error.h"

#include "exit_code.h"
#include "screen.h"

#include <iostream>

namespace camphorlug::ctl {

static constexpr std::chrono::seconds entries_timeout{5};

support::task<int> show_entries(net::http_client& client, std::string address) {
  net::client_request request;
  request.address = std::move(address);
  request.target = "/v1/entries";
  try {
    const net::client_response response =
        co_await client.fetch(std::move(request), entries_timeout);
    std::cout << response.body;
    co_return response.status == 200 ? exit_ok : exit_refused;
  } catch (const net::transport_error& error) {
    print_wrapped(std::string("No answer from the node: ") + error.what());
    co_return exit_unreachable;
  }
}

support::task<int> send_request(caller::reference_caller& caller, caller::caller_request request) {
  const bool stream = request.stream;
  const auto print_text = [](const std::string& text) { std::cout << text << std::flush; };
  const caller::caller_result result = co_await caller.send(std::move(request), print_text);
  std::cout << (stream ? "" : result.body) << "\n";
  if (result.complete)
    co_return exit_ok;
  print_wrapped("Incomplete: status " + std::to_string(result.status) + ", outcome " +
                (result.outcome.empty() ? "unknown" : result.outcome));
  if (!result.problem.empty())
    print_wrapped(result.problem);
  if (result.retry_after.count() > 0)
    print_wrapped("Retry after " + std::to_string(result.retry_after.count()) + " s.");
  co_return result.status == 0 ? exit_unreachable : exit_refused;
}

} // namespace camphorlug::ctl
