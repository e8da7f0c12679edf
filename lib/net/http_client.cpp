#include "camphorlug/net/http_client.h"

namespace camphorlug::net {

support::task<client_response> http_client::fetch(client_request request,
                                                  std::chrono::nanoseconds timeout) {
  auto exchange = open(std::move(request));
  co_return co_await collect(*exchange, timeout);
}

support::task<client_response> http_client::collect(http_exchange& exchange,
                                                    std::chrono::nanoseconds timeout) {
  response_head head = co_await exchange.head(timeout);
  client_response response{head.status, std::move(head.headers), {}};
  for (;;) {
    std::optional<std::string> chunk = co_await exchange.read(timeout);
    if (!chunk)
      break;
    response.body += *chunk;
  }
  co_return response;
}

} // namespace camphorlug::net
