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

/// Path that receives peers' statuses.
inline constexpr const char* status_path = "/camphorlug/v1/status";
/// Path that serves the text of the active configuration.
inline constexpr const char* config_path = "/camphorlug/v1/config";

/// Path that serves the target entries that changed after commit number `since`.
inline constexpr const char* entries_path = "/camphorlug/v1/entries";

/// Exchanges statuses with all other nodes. Each node periodically posts its status
/// to every peer and receives the peer's status in the response, so that every node
/// knows which nodes are alive, which are leaving, and how many requests are in
/// flight at each target. The exchange does not depend on the store and continues
/// during a store outage. The interval per peer grows with the number of nodes, so
/// that the cost per node stays constant.
class peer_status_exchange {
public:
  /// Interval between two exchanges with the same peer while there are few nodes.
  static constexpr std::chrono::milliseconds min_interval{250};
  /// Maximum rate of exchanges that a node starts. At about 0.25 ms of CPU time for
  /// each exchange started or answered, this costs 2 % of a core. With up to 11
  /// nodes, `min_interval` applies.
  static constexpr int max_exchanges_per_second = 40;
  /// A peer counts as not alive after this time without a status, or after
  /// `timeout_intervals` intervals if that is longer.
  static constexpr std::chrono::milliseconds min_peer_timeout{1500};
  static constexpr int timeout_intervals = 3;

  /// A peer's latest status and the time at which it arrived.
  struct peer {
    node_status status;
    support::clock::time_point heard_at;
  };

  peer_status_exchange(asio::any_io_executor executor, support::clock& time,
                       net::http_client& client, load_tracker& loads, suspicion_list& suspicions,
                       std::string id, std::string address,
                       std::function<node_status()> make_status);

  /// Adds a node's peer address, as found in the store, in the settings or in a
  /// peer's status.
  void add_address(const std::string& address);

  /// Runs the periodic exchanges until the clock is shut down.
  support::task<> run();

  /// Applies the peer status in `body` and returns this node's status as JSON.
  std::string answer(const std::string& body);

  /// Sends this node's status to all peers immediately, for example when it starts
  /// to leave.
  void announce();

  /// Interval between two exchanges that this node starts with the same peer.
  std::chrono::milliseconds interval() const;
  /// Time without a status after which a peer counts as not alive.
  std::chrono::milliseconds peer_timeout() const;

  /// Statuses of the peers that are alive. The pointers are valid until the next
  /// status arrives.
  std::vector<const node_status*> alive() const;
  std::size_t alive_count() const;
  /// All peers that ever sent a status, by id.
  const std::map<std::string, peer>& known() const { return peers_; }

  /// Whether a peer whose status is newer than `max_age` reports that it plans the
  /// groups.
  bool any_peer_leads(std::chrono::nanoseconds max_age) const;

  /// Sets the function that is called with each newer status of a peer.
  void on_status(std::function<void(const node_status&)> listener) {
    on_status_ = std::move(listener);
  }

private:
  bool is_alive(const peer& known) const { return time_.now() - known.heard_at < peer_timeout(); }

  /// State of the exchanges with one address.
  struct contact {
    bool in_progress = false;
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
  std::function<node_status()> make_status_;
  std::function<void(const node_status&)> on_status_;
  std::map<std::string, contact> contacts_;
  std::map<std::string, peer> peers_;
};

} // namespace camphorlug::gateway
