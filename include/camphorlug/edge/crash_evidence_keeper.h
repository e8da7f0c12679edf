#pragma once

#include "camphorlug/gateway/crash_cause_list.h"
#include "camphorlug/gateway/fleet_message.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/replicas/instance_prober.h"
#include "camphorlug/table/change_feed.h"
#include "camphorlug/table/table_store.h"

#include <asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::edge {

/// Confirms crashes, exchanges the evidence of crashes with other nodes, and keeps bans of prompt
/// parts in the store, so that they outlive a restart of all nodes.
class crash_evidence_keeper {
public:
  /// A node that cannot find out which parts are banned serves after this time all the same.
  static constexpr std::chrono::milliseconds max_wait_for_bans{2000};

  /// External dependencies. Every referenced object must outlive the keeper.
  struct context {
    asio::any_io_executor executor;
    support::clock& time;
    net::http_client& client;
    table::table_store& store;
    replicas::instance_prober& prober;
    const gateway::target_registry& registry;
    gateway::crash_cause_list& causes;
    /// Whether this node writes the bans to the store.
    std::function<bool()> writes_bans;
    /// The latest era of the store (store_version.h) that this node knows.
    std::function<std::uint64_t()> store_era;
  };

  explicit crash_evidence_keeper(context dependencies);

  /// Starts the confirmation of new losses and publishes confirmed ones. Call it several times a
  /// second.
  void update();

  /// Fetches the sender's evidence if it differs from that of this node.
  void apply_peer_message(const gateway::fleet_message& message);

  /// Applies rows of the nodes' own table. If `is_snapshot`, rows that are absent from the batch
  /// did not exist at its version.
  void apply_stored(const table::feed_batch& batch, bool is_snapshot);
  /// Keeps the bans in the store up to date until the clock is shut down.
  support::task<> store_bans();

  /// Ends a ban at an operator's request and responds.
  void lift(const net::server_request& request, net::response_writer& writer);

  /// Whether this node knows the bans that the store or a serving node knows, or has waited long
  /// enough for them.
  bool knows_bans() const;

private:
  support::task<> confirm(gateway::target_start start);
  support::task<> fetch(std::string peer, std::uint64_t digest, bool serves);
  support::task<> write(std::string key, std::optional<std::string> value);
  /// Whether what is known as of `version` holds in the present era of the store: one that comes
  /// back from an older copy has lost what was written since.
  bool is_current(std::uint64_t version) const;

  context context_;
  support::clock::time_point started_at_;
  bool knows_bans_ = false;
  bool fetching_ = false;
  /// Digest of the evidence last fetched from each peer.
  std::map<std::string, std::uint64_t> fetched_;
  /// Keys of the bans that the store holds, as far as this node knows, with the version at which it
  /// held them.
  std::map<std::string, std::uint64_t> stored_;
  /// Keys of bans that were lifted at this node, with the version at which the row was deleted; 0
  /// until then. An older copy of the store may bring the row back.
  std::map<std::string, std::uint64_t> lifted_;
};

} // namespace camphorlug::edge
