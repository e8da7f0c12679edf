#pragma once

#include "camphorlug/gateway/fleet_view.h"
#include "camphorlug/gateway/request_trials.h"
#include "camphorlug/gateway/trial_permits.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::edge {

/// Asks the node that decides about a suspected request for all nodes, and answers other nodes.
///
/// Rendezvous hashing of the request's identity names that node among the ready ones. If it does
/// not answer, this node decides about its own requests.
class fleet_trial_permits final : public gateway::trial_permits {
public:
  /// External dependencies. Every referenced object must outlive the permits.
  struct context {
    asio::any_io_executor executor;
    support::clock& time;
    net::http_client& client;
    gateway::fleet_view& fleet;
    const gateway::crash_cause_list& causes;
    /// Id of this node.
    std::string self;
  };

  explicit fleet_trial_permits(context dependencies);

  support::task<gateway::trial_answer> ask(std::string request) override;
  void report(const std::string& request, gateway::trial_step step) override;

  /// Answers a peer's request.
  void handle(const net::server_request& request, net::response_writer& writer);

private:
  /// An answer that other equal requests at this node use, too.
  struct recent_answer {
    gateway::trial_answer answer;
    support::clock::time_point until;
  };

  /// Peer address of the node that decides; nothing if it is this one.
  std::optional<std::string> decider_of(const std::string& request) const;
  support::task<std::optional<gateway::trial_answer>> ask_peer(std::string peer, std::string query);
  support::task<> tell_peer(std::string peer, std::string query);

  context context_;
  gateway::request_trials trials_;
  std::map<std::string, recent_answer> recent_;
};

} // namespace camphorlug::edge
