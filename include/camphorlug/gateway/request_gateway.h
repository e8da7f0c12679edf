#pragma once

#include "camphorlug/gateway/gateway_environment.h"
#include "camphorlug/gateway/shutdown_state.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"

#include <chrono>
#include <functional>
#include <set>

namespace camphorlug::gateway {

class request_forwarder;

/// Finds the route of each request, checks its key and limits, and forwards it.
class request_gateway {
public:
  request_gateway(gateway_environment environment, std::function<shutdown_state()> shutdown)
      : env_(environment), shutdown_(std::move(shutdown)) {}

  support::task<> handle(net::server_request raw, net::response_writer& writer);

  /// Called when the process is about to end: logs each request in progress, and sends a response
  /// to those that have none yet.
  void end_requests();

  /// Number of requests handled since the process started.
  std::uint64_t handled() const { return handled_; }

private:
  void reject(const caller_request& request, net::response_writer& writer, int status,
              std::string_view reason, std::chrono::milliseconds retry_after = {});

  /// Whether a node that is shutting down rejects the request.
  bool may_not_finish(const shutdown_state& shutdown, const route& chosen,
                      const caller_request& request) const;
  std::chrono::nanoseconds usual_duration(const route& chosen, const caller_request& request) const;

  gateway_environment env_;
  std::function<shutdown_state()> shutdown_;
  std::uint64_t handled_ = 0;
  std::set<request_forwarder*> in_progress_;
};

} // namespace camphorlug::gateway
