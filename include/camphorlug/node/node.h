#pragma once

#include "camphorlug/documents/document_cache.h"
#include "camphorlug/documents/document_editor.h"
#include "camphorlug/groups/domain_placement.h"
#include "camphorlug/groups/group_planner.h"
#include "camphorlug/groups/live_groups.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/server_request.h"
#include "camphorlug/node/isolation_monitor.h"
#include "camphorlug/node/node_metrics.h"
#include "camphorlug/node/node_settings.h"
#include "camphorlug/node/store_reader.h"
#include "camphorlug/peers/gossip.h"
#include "camphorlug/requests/request_service.h"
#include "camphorlug/routing/affinity_picker.h"
#include "camphorlug/table/instance_list.h"
#include "camphorlug/watching/watcher.h"

#include <asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorlug::node {

/// External dependencies of a node. Every referenced object must outlive the node.
struct node_context {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  table::table_store& store;
  table::instance_list& instances;
  targets::target_client& targets;
  peers::peer_client& peers;
};

/// One camphorlug node without its network listeners. It handles the requests passed to it and
/// accesses external systems only through its context.
class node {
public:
  node(node_context context, node_settings settings);
  ~node();

  /// Starts all background tasks; they run until the clock is shut down.
  void start();

  /// Handles a request that arrived at the address for callers.
  support::task<> handle_caller(net::server_request request, net::response_writer& writer);

  /// Handles a request that arrived at the address for operators and peers.
  support::task<> handle_operator(net::server_request request, net::response_writer& writer);

  /// Prepares the shutdown: announces it to the peers, gives up the leases, and returns once
  /// every cached response of `/v1/entries` that lists this node has expired.
  support::task<> leave();

  bool leaving() const { return leaving_; }
  bool isolated() const { return isolation_.isolated(); }

  /// Returns whether the node has read documents and is not isolated, so that it may serve callers.
  bool serves() const;

  const node_settings& settings() const { return settings_; }
  const documents::document_view& documents() const { return documents_; }
  const table::row_cache& rows() const { return rows_; }
  const peers::peer_registry& peer_registry() const { return peer_registry_; }
  groups::live_groups& live_groups() { return live_groups_; }
  documents::document_editor& editor() { return editor_; }
  std::vector<groups::planner_status> planner_statuses() const;
  peers::node_report report();

  /// Merges a peer's gossip message and returns the reply.
  peers::peer_message answer_peer(const peers::peer_message& message);

private:
  struct pool_planner;
  /// Starts a task that lasts as long as the node.
  void begin_lasting(std::string name, std::function<support::task<>()> begin);
  void start_planner(const documents::active_document& active);
  support::task<> read_instances();
  support::task<> run_housekeeping();
  bool is_reader() const;
  bool should_watch(const table::listed_instance& instance) const;
  void send_entry_points(const net::server_request& request, net::response_writer& writer);
  void send_metrics(net::response_writer& writer);
  void answer_peer_request(const net::server_request& request, net::response_writer& writer);

  node_context context_;
  node_settings settings_;
  std::uint64_t incarnation_;
  /// The last report of this node; the next one continues its sequence and revision.
  peers::node_report last_report_;
  bool leaving_ = false;

  table::row_cache rows_;
  watching::instance_directory directory_;
  watching::observation_cache observations_;
  peers::peer_registry peer_registry_;
  documents::document_cache documents_;
  documents::document_editor editor_;
  groups::live_groups live_groups_;
  groups::domain_placement placement_;
  isolation_monitor isolation_;
  store_reader reader_;
  watching::watcher watcher_;
  peers::gossip gossip_;
  routing::affinity_picker picker_;
  requests::claim_store claims_;
  node_metrics metrics_;
  requests::request_service requests_;
  std::map<std::string, std::unique_ptr<pool_planner>> planners_;
};

} // namespace camphorlug::node
