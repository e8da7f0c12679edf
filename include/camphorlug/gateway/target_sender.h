#pragma once

#include "camphorlug/gateway/chosen_target.h"
#include "camphorlug/gateway/home_regions.h"
#include "camphorlug/gateway/path_monitor.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A node that reaches targets and may relay requests to them.
struct relay_node {
  /// `ip:port` on which the node serves peers.
  std::string peer_address;
  /// Share of the requests that it gets; see `node_status::cores`.
  double weight = 1;
  std::string region{};
};

/// Sends requests to targets: on this node's own connections or, if these lead nowhere, through
/// another node. That node passes on one attempt to the target that this node has chosen. It
/// decides nothing, so all that binds the request stays here: its time limit, attempts, retries,
/// limits of targets, bans and the order of its events. A relayed request is never relayed again.
class target_sender {
public:
  /// `relays` returns the nodes that may relay requests now.
  target_sender(support::clock& time, support::random_source& random, net::http_client& client,
                path_monitor& paths, std::function<std::vector<relay_node>()> relays)
      : time_(time), random_(random), client_(client), paths_(paths), relays_(std::move(relays)) {}

  /// An attempt to send a request to a target.
  class exchange;

  /// Starts sending `request`, which is addressed to `target`.
  /// It is relayed only by nodes in `homes`.
  std::unique_ptr<exchange> open(const std::string& service, const chosen_target& target,
                                 net::client_request request, home_regions homes = {});

  /// Returns the peer address of a random node outside `tried` that may relay requests.
  std::optional<std::string> choose_relay(const std::set<std::string>& tried,
                                          const home_regions& homes = {});
  bool has_relay(const home_regions& homes = {}) { return choose_relay({}, homes).has_value(); }

private:
  support::clock& time_;
  support::random_source& random_;
  net::http_client& client_;
  path_monitor& paths_;
  std::function<std::vector<relay_node>()> relays_;
};

class target_sender::exchange final : public net::http_exchange {
public:
  exchange(target_sender& sender, std::string service, chosen_target target,
           net::client_request request, home_regions homes);

  support::task<net::response_head> head(std::chrono::nanoseconds timeout) override;
  support::task<std::optional<std::string>> read(std::chrono::nanoseconds timeout) override;
  void cancel() override;

  /// Whether the last failure shows that this node's connections lead nowhere, and nothing about
  /// the target.
  bool failed_on_lost_path() const { return failed_on_lost_path_; }

  /// False if a relay of an earlier build passes the response on. It ends the response regularly
  /// whenever the target's connection ends.
  bool relay_confirms_end() const { return relay_confirms_end_; }

private:
  enum class relay_result {
    answered,
    try_another,
    /// The relay got no connection to the target. If others get none either, the target is gone.
    no_connection,
    failed,
  };

  void open_direct();
  void open_relayed(const std::string& peer, std::chrono::nanoseconds timeout);
  void abandon();
  std::function<bool()> make_send_condition();
  bool may_relay(const net::transport_error& failure);
  /// Waits for the head on the current connection; sets `head_` or `failure_`.
  support::task<> wait_for_head(std::chrono::nanoseconds timeout);
  support::task<relay_result> relay(std::chrono::nanoseconds timeout);
  bool failure_is_late() const;
  relay_result relay_result_of_head();
  void accept_relayed_head();

  target_sender& sender_;
  std::string service_;
  chosen_target target_;
  net::client_request request_;
  home_regions homes_;
  std::unique_ptr<net::http_exchange> current_;
  support::clock::time_point opened_at_;
  /// While the request is on a connection of this node.
  std::optional<path_monitor::wait> wait_;
  std::optional<net::response_head> head_;
  std::optional<net::transport_error> failure_;
  /// `send_if` has kept the request from being sent.
  bool withheld_ = false;
  bool cancelled_ = false;
  bool abandoned_ = false;
  bool failed_on_lost_path_ = false;
  bool relay_confirms_end_ = true;
};

} // namespace camphorlug::gateway
