#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/peers/peer_client.h"

#include <cstdint>
#include <string>

namespace camphorlug::peers {

/// Path of the exchange endpoint on a node's peer address.
inline constexpr const char* exchange_path = "/peer/exchange";
/// Header that carries the HMAC signature of the body.
inline constexpr const char* signature_header = "Camphorlug-Signature";

/// Sends peer messages as JSON over HTTP. Requests and responses are signed with the
/// key that all nodes share.
class http_peer_client final : public peer_client {
public:
  http_peer_client(net::http_client& client, std::string key);

  support::task<peer_message> exchange(std::string address, peer_message message,
                                       std::chrono::nanoseconds timeout) override;

  /// Total size in bytes of all bodies sent and received, for measuring control traffic.
  std::uint64_t bytes() const { return bytes_; }

private:
  net::http_client& client_;
  std::string key_;
  std::uint64_t bytes_ = 0;
};

} // namespace camphorlug::peers
