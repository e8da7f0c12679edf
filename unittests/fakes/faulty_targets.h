#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// Targets that answer each request with a short stream. They crash when they begin to answer a
/// request with a deadly prompt part or body, and may name a limit. Addresses equal ids.
class faulty_targets final : public net::http_client {
public:
  /// Time from the arrival of a request to the first event of its answer.
  static constexpr std::chrono::milliseconds time_to_answer{150};

  struct arrival {
    support::clock::time_point at;
    std::string target;
    /// Peer address of the node that sent it.
    std::string node;
    /// Separated by spaces.
    std::string parts;
    bool is_deadly = false;
  };

  /// How a node is cut off from all targets.
  enum class cut_kind {
    /// Nothing gets through, and new connections are not established.
    hang,
    /// Connections are reset, new ones too.
    reset,
    /// Connections live on, and new ones are refused.
    refuse_new,
  };

  explicit faulty_targets(support::clock& time) : time_(time) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

  /// Ends the target and resets its connections. It does not come back; calls `on_crash`.
  void crash(const std::string& target);
  /// Resets the connections of the target, which goes on.
  void reset_connections(const std::string& target);
  /// Cuts the node with this peer address off from all targets, or reconnects it.
  void cut_off(const std::string& node, cut_kind kind);
  void reconnect(const std::string& node) { cuts_.erase(node); }
  bool is_cut_off(const std::string& node) const { return cuts_.contains(node); }

  bool is_down(const std::string& target) const { return down_.contains(target); }

  /// Until then, no target sends anything.
  support::clock::time_point silent_until;

  /// Requests a second that targets say they take from all nodes together.
  std::map<std::string, double> limits;
  /// When each node was told a limit first, by target and peer address.
  std::map<std::string, std::map<std::string, support::clock::time_point>> told;

  std::string deadly_part;
  std::set<std::string> deadly_bodies;
  /// Targets crash only after the first event of the answer to a deadly request.
  bool crashes_late = false;
  /// Requests that reached a target, in order of arrival.
  std::vector<arrival> arrivals;
  /// When targets crashed under deadly requests.
  std::vector<support::clock::time_point> deadly_crashes;
  std::function<void(const std::string& target)> on_crash;

private:
  class exchange;

  support::clock& time_;
  std::set<std::string> down_;
  std::map<std::string, cut_kind> cuts_;
  /// By target and in the order of their beginning, so that a seed has the same outcome each time.
  std::map<std::string, std::map<std::size_t, exchange*>> open_;
  std::size_t last_exchange_ = 0;
};

} // namespace camphorlug::fakes
