#pragma once

#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/node_status.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Path at which a node takes its peers' statuses.
inline constexpr const char* status_path = "/camphorlug/v1/status";
/// Path at which a node hands out the configuration text that it has in force.
inline constexpr const char* config_path = "/camphorlug/v1/config";

/// Path at which a node hands out the targets' entries that changed after the
/// commit number `since`.
inline constexpr const char* entries_path = "/camphorlug/v1/entries";

/// The other nodes: every few moments each sends its status to each and gets
/// theirs in the answer, so that all know who lives, who leaves and what is in
/// flight where. Without the store this alone goes on. With many nodes each is
/// asked less often, so that the cost of a node stays the same.
class peer_status_exchange {
public:
  /// Time between two exchanges with one peer while there are few.
  static constexpr std::chrono::milliseconds min_interval{250};
  /// Exchanges that a node begins in a second; at some 0.25 ms of processor each,
  /// begun or answered, 2 % of a core. Up to 11 nodes the shortest interval holds.
  static constexpr int max_exchanges_per_second = 40;
  /// Without a status for this long a peer counts as not alive, if that is more
  /// than `tolerated_intervals`.
  static constexpr std::chrono::milliseconds min_peer_timeout{1500};
  static constexpr int timeout_intervals = 3;

  /// A peer with when its newest status came.
  struct peer {
    node_status status;
    support::clock::time_point heard_at;
  };

  peer_status_exchange(asio::any_io_executor executor, support::clock& time,
                       net::http_client& client, load_tracker& loads, suspicion_list& suspicions,
                       std::string id, std::string address, std::function<node_status()> own);

  /// Learns of a node's peer address, from the store, the settings or a peer.
  void add_address(const std::string& address);

  /// Runs until the clock is shut down.
  support::task<> run();

  /// Takes a peer's status and answers with this node's own.
  std::string answer(const std::string& body);

  /// Tells all peers at once, as when this node begins to leave.
  void announce();

  /// Time between two exchanges that this node begins with one peer.
  std::chrono::milliseconds interval() const;
  /// Without a status for this long a peer counts as not alive.
  std::chrono::milliseconds peer_timeout() const;

  /// Statuses of the peers that were heard lately, until the next one comes.
  std::vector<const node_status*> alive() const;
  std::size_t alive_count() const;
  /// All peers that were ever heard, by id.
  const std::map<std::string, peer>& known() const { return peers_; }

  /// Whether a peer that was heard within `silence` says that it plans the groups.
  bool any_peer_leads(std::chrono::nanoseconds max_age) const;

  /// Calls `listener` with each newer status of a peer.
  void on_status(std::function<void(const node_status&)> listener) {
    on_status_ = std::move(listener);
  }

private:
  bool is_alive(const peer& known) const { return time_.now() - known.heard_at < peer_timeout(); }

  /// How the exchanges with one address go.
  struct contact {
    bool busy = false;
    int failures = 0;
    support::clock::time_point next_at;
  };

  void begin_due_exchanges();
  support::task<> exchange(std::string address);
  void apply_status(node_status status);

  asio::any_io_executor executor_;
  support::clock& time_;
  net::http_client& client_;
  load_tracker& loads_;
  suspicion_list& suspicions_;
  std::string id_;
  std::string address_;
  std::function<node_status()> own_;
  std::function<void(const node_status&)> on_status_;
  std::map<std::string, contact> contacts_;
  std::map<std::string, peer> peers_;
};

} // namespace camphorlug::gateway
