#pragma once

#include "camphorlug/edge/edge_settings.h"
#include "camphorlug/edge/row_decoder.h"
#include "camphorlug/edge/table_names.h"
#include "camphorlug/gateway/caller_protocol.h"
#include "camphorlug/gateway/peer_status_exchange.h"
#include "camphorlug/gateway/request_gateway.h"
#include "camphorlug/groups/table_lease.h"
#include "camphorlug/replicas/replica_controller.h"
#include "camphorlug/table/row_mirror.h"
#include "camphorlug/table/table_follower.h"
#include "camphorlug/table/table_store.h"

#include <asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::edge {

/// What an edge node reaches the world through; everything must outlive it.
struct edge_context {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  net::http_client& client;
  table::table_store& store;
  table::change_feed& feed;
  const row_decoder& decoder;
  const gateway::caller_protocol& protocol;
  replicas::order_client& orders;
  replicas::instance_prober& prober;
  table_names tables;
};

/// One node between callers and targets: routes requests, keeps groups whole
/// with its peers, and tells callers which nodes to use.
class edge_node {
public:
  edge_node(edge_context context, edge_settings settings);
  ~edge_node();

  void start();

  /// Takes over the seeds and bounds of newer settings. Names and addresses stay.
  void change_settings(const edge_settings& settings);

  support::task<> handle_caller(net::server_request request, net::response_writer& writer);
  support::task<> handle_peer(net::server_request request, net::response_writer& writer);

  /// Whether it takes requests, for the platform's checks.
  bool ready() const;

  /// Addresses that a caller in `data_centre` may use now.
  std::vector<std::string> entries(const std::string& data_centre) const;

  /// Tells everyone that this node leaves and returns when callers have moved away.
  support::task<> leave();

  std::string metrics();

private:
  bool is_leaving() const { return phase_ != gateway::shutdown_phase::none; }
  gateway::node_status status();
  gateway::slot_demand demand_of_all() const;
  std::vector<std::string> stalled_anywhere() const;
  void note_traffic();
  support::task<> register_self();
  support::task<> keep_house();
  support::task<std::optional<std::string>>
  ask_peer(net::client_request request, std::chrono::milliseconds timeout, std::string_view event);
  support::task<> fetch_config(std::string peer_address);
  bool hears_store() const;
  const gateway::node_status* peer_ahead() const;
  void follow_peers_entries();
  support::task<> fetch_entries(std::string peer_address);
  void take_config(const std::string& text);
  void take_targets(const table::feed_batch& batch, bool whole);
  void take_own_rows(const table::feed_batch& batch);
  std::size_t nodes_alive() const { return peers_.alive_count() + 1; }
  /// 0 before the first configuration.
  std::uint64_t config_version() const {
    return config_.current() ? config_.current()->version : 0;
  }

  edge_context context_;
  edge_settings settings_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  gateway::shutdown_phase phase_ = gateway::shutdown_phase::none;
  bool fetching_config_ = false;
  bool fetching_entries_ = false;
  /// Since when peers have newer entries while the store does not answer.
  std::optional<support::clock::time_point> behind_peers_since_;
  /// When the first request of any node was seen.
  std::optional<support::clock::time_point> traffic_since_;
  std::string config_text_;

  gateway::active_config config_;
  gateway::target_registry registry_;
  /// The entries as they were read, for peers that do not reach the store.
  table::row_mirror entries_;
  gateway::group_directory groups_;
  gateway::load_tracker loads_;
  gateway::suspicion_list suspicions_;
  gateway::target_chooser chooser_;
  gateway::slot_queue line_;
  gateway::retry_limiter retries_;
  gateway::stall_detector stalls_;
  gateway::demand_meter demand_;
  gateway::gateway_metrics metrics_;
  gateway::request_gateway requests_;
  gateway::peer_status_exchange peers_;
  groups::table_lease lease_;
  replicas::replica_controller keeper_;
  table::table_follower config_follower_;
  table::table_follower target_follower_;
  table::table_follower own_follower_;
};

} // namespace camphorlug::edge
