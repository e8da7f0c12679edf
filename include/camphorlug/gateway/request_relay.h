#pragma once

#include "camphorlug/gateway/caller_protocol.h"
#include "camphorlug/gateway/path_monitor.h"
#include "camphorlug/gateway/relay_path.h"
#include "camphorlug/gateway/slot_queue.h"
#include "camphorlug/gateway/target_liveness.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/memory_budget.h"

#include <cstddef>

namespace camphorlug::gateway {

/// Passes on requests of nodes that reach no target themselves; see `target_sender`. Each goes to
/// the target that its sender has chosen, if this node too believes that it accepts requests.
class request_relay {
public:
  /// Requests that a node relays at the same time, by its processor share. A relayed request costs
  /// about as much as one of the node's own callers.
  static constexpr double max_in_progress_per_core = 600;

  request_relay(support::clock& time, net::http_client& client, const caller_protocol& protocol,
                const target_registry& registry, const slot_queue& queue, path_monitor& paths,
                double cores, support::memory_budget& memory, target_liveness& liveness);

  std::size_t in_progress() const { return in_progress_; }

  static bool handles(const net::server_request& request) {
    return request.path.starts_with(relay_prefix);
  }

  /// Sends a request whose path was made by `to_relay_path`, and passes the response on as it
  /// arrives.
  support::task<> handle(net::server_request request, net::response_writer& writer);

private:
  support::task<> pass_on(net::http_exchange& exchange, net::response_writer& writer,
                          path_monitor::wait& wait, target_entry target,
                          support::clock::time_point deadline);
  net::client_request make_request(const relay_parameters& parameters,
                                   net::server_request request) const;
  bool accepts_requests(const relay_parameters& parameters) const;

  support::clock& time_;
  net::http_client& client_;
  const caller_protocol& protocol_;
  const target_registry& registry_;
  const slot_queue& queue_;
  path_monitor& paths_;
  support::memory_budget& memory_;
  target_liveness& liveness_;
  std::size_t max_in_progress_;
  std::size_t in_progress_ = 0;
};

} // namespace camphorlug::gateway
