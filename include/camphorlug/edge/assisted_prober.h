#pragma once

#include "camphorlug/gateway/path_monitor.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/gateway/target_sender.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/replicas/instance_prober.h"
#include "camphorlug/support/clock.h"

namespace camphorlug::edge {

/// Prefix of the peers' paths that probe an instance; its id follows.
inline constexpr std::string_view probe_prefix = "/camphorlug/v1/probe/";

/// Probes instances, and has another node do so when this node may have lost its way to all of
/// them. Otherwise its planner would give up sound groups.
class assisted_prober final : public replicas::instance_prober {
public:
  assisted_prober(support::clock& time, net::http_client& client, replicas::instance_prober& prober,
                  const gateway::path_monitor& paths, gateway::target_sender& sender)
      : time_(time), client_(client), prober_(prober), paths_(paths), sender_(sender) {}

  support::task<bool> probe(gateway::target_entry entry) override;

  /// Asks from this node alone.
  support::task<replicas::report_result> report(gateway::target_entry entry) override;

  /// A node that has lost its way to the targets has another one ask the process, and does not
  /// learn whether its port is closed.
  support::task<replicas::process_state> ask_process(gateway::target_entry entry) override;

  /// Probes for another node: responds with 200 if the instance answers, and with 404 otherwise. If
  /// the request names a start, only the process with that start counts.
  support::task<> handle(net::server_request request, const gateway::target_registry& registry,
                         net::response_writer& writer);

private:
  /// Returns whether a target has sent something to this node since `start`, and waits a moment
  /// for that.
  support::task<bool> hears_targets_since(support::clock::time_point start);
  /// Has another node ask; `request_target` begins with `probe_prefix`.
  support::task<bool> ask_peer(std::string request_target);

  support::clock& time_;
  net::http_client& client_;
  replicas::instance_prober& prober_;
  const gateway::path_monitor& paths_;
  gateway::target_sender& sender_;
};

} // namespace camphorlug::edge
