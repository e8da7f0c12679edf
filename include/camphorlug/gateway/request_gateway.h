#pragma once

#include "camphorlug/gateway/gateway_environment.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"

#include <functional>

namespace camphorlug::gateway {

/// Finds the route of each request, checks its key and sends it on its way.
class request_gateway {
public:
  /// `leaving` tells whether this node is about to end.
  request_gateway(gateway_environment environment, std::function<bool()> leaving)
      : env_(environment), leaving_(std::move(leaving)) {}

  support::task<> handle(net::server_request raw, net::response_writer& writer);

  /// Requests handled since the start.
  std::uint64_t handled() const { return handled_; }

private:
  void reject(const caller_request& request, net::response_writer& writer, int status,
              std::string_view reason);

  gateway_environment env_;
  std::function<bool()> leaving_;
  std::uint64_t handled_ = 0;
};

} // namespace camphorlug::gateway
