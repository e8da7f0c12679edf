#include "camphorlug/peers/http_peer_client.h"

#include "camphorlug/support/digest.h"

namespace camphorlug::peers {

http_peer_client::http_peer_client(net::http_client& client, std::string key)
    : client_(client), key_(std::move(key)) {}

support::task<peer_message> http_peer_client::exchange(std::string address, peer_message message,
                                                       std::chrono::nanoseconds timeout) {
  net::client_request request;
  request.method = "POST";
  request.address = std::move(address);
  request.target = exchange_path;
  request.body = message.to_json();
  request.headers.add(signature_header, support::hmac_sha256_hex(key_, request.body));
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  bytes_ += request.body.size();
  const net::client_response response = co_await client_.fetch(std::move(request), timeout);
  bytes_ += response.body.size();
  if (response.status != 200)
    throw std::runtime_error("the peer responded with HTTP status " +
                             std::to_string(response.status));
  const std::string given = response.headers.find(signature_header).value_or("");
  if (!support::equal_in_constant_time(given, support::hmac_sha256_hex(key_, response.body)))
    throw std::runtime_error("the signature of the peer's response does not match the shared key");
  co_return peer_message::from_json(response.body);
}

} // namespace camphorlug::peers
