#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <asio/io_context.hpp>
#include <memory>

namespace camphorlug::net {

/// HTTP client that runs libcurl's multi interface on an Asio context.
class curl_client final : public http_client {
public:
  curl_client(asio::io_context& context, support::clock& time);
  ~curl_client() override;

  std::unique_ptr<http_exchange> open(client_request request) override;

  /// Keeps at most this many idle connections for reuse.
  void limit_idle_connections(std::size_t limit);

  class driver;

private:
  support::clock& time_;
  std::shared_ptr<driver> driver_;
};

} // namespace camphorlug::net
