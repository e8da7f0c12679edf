#pragma once

#include "camphorlug/edge/assisted_prober.h"
#include "camphorlug/edge/crash_evidence_keeper.h"
#include "camphorlug/edge/direct_read_policy.h"
#include "camphorlug/edge/edge_settings.h"
#include "camphorlug/edge/fleet_trial_permits.h"
#include "camphorlug/edge/liveness_checker.h"
#include "camphorlug/edge/row_decoder.h"
#include "camphorlug/edge/staleness_watch.h"
#include "camphorlug/edge/store_reader_duty.h"
#include "camphorlug/edge/table_names.h"
#include "camphorlug/gateway/caller_protocol.h"
#include "camphorlug/gateway/evacuation_list.h"
#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/gateway/request_gateway.h"
#include "camphorlug/gateway/request_relay.h"
#include "camphorlug/gateway/target_sender.h"
#include "camphorlug/groups/table_lease.h"
#include "camphorlug/replicas/held_member_checker.h"
#include "camphorlug/replicas/replica_controller.h"
#include "camphorlug/scheduling/scheduler_assignment.h"
#include "camphorlug/scheduling/scheduler_client.h"
#include "camphorlug/scheduling/scheduler_service.h"
#include "camphorlug/table/row_mirror.h"
#include "camphorlug/table/table_follower.h"
#include "camphorlug/table/table_store.h"

#include <asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::edge {

/// External dependencies of an edge node. Every referenced object must outlive the node.
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

/// One gateway node: routes requests from callers to targets, takes part in electing the
/// planner, forms and repairs groups while it is the planner itself (holds the lease), and serves
/// the directory of entry points.
class edge_node {
public:
  edge_node(edge_context context, edge_settings settings);
  ~edge_node();

  void start();

  /// Applies the seeds, limits and times of changed settings. The id, data centre and
  /// addresses stay as they were at the start.
  void change_settings(const edge_settings& settings);

  support::task<> handle_caller(net::server_request request, net::response_writer& writer);
  support::task<> handle_peer(net::server_request request, net::response_writer& writer);

  /// Applies what an instance says about itself in a response to an order or a probe.
  void apply_notice(const std::string& instance, const gateway::target_notice& notice);

  /// Returns whether the node accepts requests; answers the platform's readiness check.
  bool ready() const;

  /// Returns the addresses of the nodes that a caller in `data_centre` should use now: the
  /// directory of entry points.
  std::vector<std::string> entry_points(const std::string& data_centre,
                                        const std::string& host = "",
                                        const std::string& region = "");

  /// Announces the shutdown to the peers, gives up the planner lease, and returns when callers
  /// should have switched to other nodes or half of the termination grace period is over.
  support::task<> leave();

  /// Time at which the process must end after `leave` was called, shortly before the grace period
  /// is over.
  support::clock::time_point exits_at() const { return exits_at_; }

  /// Number of requests that this node relays for others.
  std::size_t relaying() const { return relay_.in_progress(); }

  /// Ends the callers' requests that are in progress; called shortly before the process ends.
  void end_requests() { requests_.end_requests(); }

  /// `gauges` has what the node does not know: the connections of its servers.
  std::string metrics(gateway::gateway_gauges gauges = {});
  /// How long the active configuration lets callers' connections be idle; nothing if it sets no
  /// limit.
  std::optional<std::chrono::milliseconds> idle_time_limit() const;

private:
  gateway::shutdown_state shutdown();
  bool is_leaving() const { return phase_ != gateway::shutdown_phase::none; }
  /// Returns this node's status; its revision increases when another field has changed.
  const gateway::node_status& status();
  gateway::fleet_exchange::own_report report();
  /// Applies an era of the store that this node has learned from an answer or a peer: reads the
  /// tables again if it is new.
  void observe_store_era(std::uint64_t era);
  void apply_peer_message(const gateway::fleet_message& message,
                          std::optional<support::clock::time_point> asked_at);
  /// Applies how stale the copies of the peer are that sent `message` as an answer.
  void apply_peer_staleness(const gateway::fleet_message& message,
                            support::clock::time_point asked_at);
  void update_staleness();
  /// This node's place among the hubs; nothing if it is none.
  std::optional<std::size_t> place_among_hubs();
  void set_time_limits();
  /// Reads a table itself if its copy is too stale.
  void read_if_stale(table::table_follower& follower, const staleness_watch& watch,
                     direct_read_policy& policy, std::chrono::milliseconds time_limit);
  support::task<> read_directly(table::table_follower& follower, const staleness_watch& watch,
                                direct_read_policy& policy, std::chrono::milliseconds time_limit);
  /// Whether this node competes for the planner lease.
  bool may_plan();
  /// Starts or stops reading the tables of the store itself.
  void update_reading();
  gateway::slot_demand total_demand() const;
  std::vector<std::string> all_stalled_heads() const;
  /// Whether streams of the group that the entry names progress at this node.
  bool group_progresses(const gateway::target_entry& member) const;
  /// This node's place among the planners that reach the targets; nothing if it is not one.
  std::optional<std::size_t> place_among_planners();
  void update_limits();
  void update_cold_targets();
  void update_schedulers();
  void detect_first_traffic();
  support::task<> register_self();
  /// Reads the bans, the configuration and the targets from the store itself if no peer has a
  /// configuration soon after a restart.
  support::task<> read_store_after_restart();
  support::task<> run_housekeeping();
  /// Nodes that may relay requests to targets for this node.
  std::vector<gateway::relay_node> relays();
  /// Whether this node, but not each other one, has lost its way to all targets.
  bool is_cut_off_from_targets() { return paths_.has_lost_all() && sender_.has_relay(); }
  /// Finds out when this node's own connections to targets work again.
  support::task<> probe_lost_services();
  support::task<> confirm_silence(std::string service);
  /// Probes a random target of the service on a connection of this node.
  support::task<bool> probe_any_target(std::string service);
  support::task<std::optional<std::string>> fetch_from_peer(net::client_request request,
                                                            std::chrono::milliseconds timeout,
                                                            std::string_view event);
  /// Starts a task that lasts as long as the node.
  void begin_lasting(std::string name, std::function<support::task<>()> begin);
  support::task<> fetch_config(std::string peer_address);
  bool store_answered_recently() const;
  /// Whether an answer of the store shows that this node reaches it.
  bool has_store_evidence() const;
  /// Whether rows that a peer holds should be fetched from it now.
  bool needs_rows_of_peers();
  support::task<> fetch_target_rows(std::string peer_address);
  void apply_config(const std::string& text);
  void apply_config_rows(const table::feed_batch& batch, bool is_full_table);
  void apply_evacuations(const table::feed_batch& batch, bool is_full_table);
  std::string region_of(const std::string& data_centre) const;
  void apply_target_rows(const table::feed_batch& batch, bool is_full_table);
  void apply_own_rows(const table::feed_batch& batch, bool is_full_table);
  std::size_t live_node_count() { return fleet_.others().size() + 1; }
  /// Returns the version of the active configuration, or 0 if there is none yet.
  std::uint64_t config_version() const {
    return config_.current() ? config_.current()->version : 0;
  }

  edge_context context_;
  edge_settings settings_;
  std::uint64_t incarnation_;
  gateway::node_status status_;
  gateway::shutdown_phase phase_ = gateway::shutdown_phase::none;
  /// Meaningless unless the node is leaving, like `exits_at_`.
  support::clock::time_point leaves_since_;
  support::clock::time_point exits_at_;
  bool fetching_config_ = false;
  /// Whether a peer has said that it has a configuration.
  bool peer_has_config_ = false;
  bool fetching_target_rows_ = false;
  /// Whether this node reads the tables of the store itself; otherwise peers relay them.
  store_reader_duty reading_;
  /// Whether the store seems to have been away when this node began to read it.
  bool others_missed_store_ = false;
  /// Since when a peer has had newer target rows while the store does not answer this node.
  std::optional<support::clock::time_point> behind_peers_since_;
  /// When this node first saw that it or a peer had handled a request.
  std::optional<support::clock::time_point> traffic_since_;
  std::string config_text_;
  /// The highest era of the store that this node knows of.
  std::uint64_t store_era_ = 0;
  /// The era in which this node wrote its own row.
  std::optional<std::uint64_t> registered_in_era_;

  support::memory_budget memory_;
  gateway::active_config config_;
  gateway::target_registry registry_;
  /// The target rows as read from the store, served to peers that cannot reach it.
  table::row_mirror target_rows_;
  gateway::group_directory groups_;
  gateway::load_tracker loads_;
  gateway::suspicion_list suspicions_;
  gateway::target_pauses pauses_;
  gateway::target_limits limits_;
  gateway::evacuation_list evacuations_;
  gateway::cold_targets cold_targets_;
  gateway::target_chooser chooser_;
  gateway::slot_queue slot_queue_;
  gateway::retry_limiter retries_;
  gateway::stall_detector stalls_;
  gateway::demand_meter demand_;
  gateway::gateway_metrics metrics_;
  gateway::usual_time_limits usual_limits_;
  gateway::first_part_times first_parts_;
  gateway::second_try_policy second_tries_;
  gateway::notice_handler notices_;
  gateway::crash_cause_list crash_causes_;
  fleet_trial_permits trials_;
  gateway::path_monitor paths_;
  gateway::target_sender sender_;
  assisted_prober prober_;
  departure_checker departures_;
  liveness_checker liveness_;
  gateway::request_relay relay_;
  gateway::request_gateway requests_;
  gateway::fleet_view fleet_;
  scheduling::scheduler_assignment schedulers_;
  scheduling::scheduler_service scheduler_service_;
  scheduling::scheduler_client scheduler_client_;
  gateway::fleet_exchange exchange_;
  groups::table_lease lease_;
  replicas::replica_controller replica_controller_;
  replicas::held_member_checker member_checker_;
  crash_evidence_keeper crash_keeper_;
  table::table_follower config_follower_;
  table::table_follower target_follower_;
  table::table_follower own_follower_;
  staleness_watch config_staleness_;
  staleness_watch target_staleness_;
  direct_read_policy config_reads_;
  direct_read_policy target_reads_;
};

} // namespace camphorlug::edge
