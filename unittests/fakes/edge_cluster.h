#pragma once

#include "camphorlug/edge/edge_node.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/failing_clock.h"
#include "fakes/fake_platform_tables.h"
#include "fakes/fake_store.h"
#include "fakes/minimal_protocol.h"
#include "fakes/recording_writer.h"
#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// Decodes the rows that the test fixtures write: `VERSION DETAILS` for a configuration with the
/// routes `/plain/`, `/stream/` and `/once/`, where a detail is the rate of cold targets, the homes
/// of a route as `ROUTE=REGION,REGION`, or `engines SIZE` for a service with groups of a model and
/// the route `/engines/`;
/// `SERVICE ADDRESS DATA_CENTRE WARM_UP_MS` for a target, the last two of them optional, or
/// `SERVICE ADDRESS DATA_CENTRE START GROUP EPOCH RANK` for a member that is ready, or open if it
/// is the head.
class minimal_row_decoder final : public edge::row_decoder {
public:
  std::shared_ptr<const gateway::routing_config>
  read_config(const std::string& text) const override;
  std::optional<gateway::target_entry> read_target(const std::string& id,
                                                   const std::string& text) const override;
};

/// An order client that sends no orders and a prober for which all instances answer.
class null_instance_client final : public replicas::order_client, public replicas::instance_prober {
public:
  support::task<replicas::order_result> send(replicas::replica_order order,
                                             std::function<bool()> send_if) override;
  support::task<bool> probe(gateway::target_entry entry) override;
  support::task<replicas::process_state> ask_process(gateway::target_entry entry) override {
    const bool answers = co_await probe(std::move(entry));
    co_return answers ? replicas::process_state::running : replicas::process_state::ended;
  }
  support::task<replicas::report_result> report(gateway::target_entry entry) override;

  /// Returns what an instance answers when it is asked for its report; none answers if it is empty.
  std::function<replicas::report_result(const std::string& id)> report_of;
  /// Number of reports that were asked for, and the node that asked for the latest, by peer
  /// address.
  std::size_t reports = 0;
  std::string last_reporter;
  /// The orders that nodes wanted to send.
  std::vector<replicas::replica_order> orders;
  /// Decides which instances answer a probe; all do if it is empty.
  std::function<bool(const std::string& id)> is_alive;
  /// Decides which nodes, by peer address, reach no instance; all reach them if it is empty.
  std::function<bool(const std::string& node)> is_cut_off;
};

/// The prober of one node.
class node_prober final : public replicas::instance_prober {
public:
  node_prober(null_instance_client& instances, std::string self)
      : instances_(instances), self_(std::move(self)) {}
  support::task<bool> probe(gateway::target_entry entry) override;
  support::task<replicas::process_state> ask_process(gateway::target_entry entry) override {
    const bool answers = co_await probe(std::move(entry));
    co_return answers ? replicas::process_state::running : replicas::process_state::ended;
  }
  support::task<replicas::report_result> report(gateway::target_entry entry) override;

private:
  null_instance_client& instances_;
  std::string self_;
};

/// The network between nodes: maps each peer address to its request handler.
struct peer_network {
  std::map<std::string, std::function<support::task<>(net::server_request, net::response_writer&)>>
      nodes;
  /// Addresses that are disconnected in both directions.
  std::set<std::string> cut;
  /// Addresses of nodes whose messages are those of an earlier build, see `earlier_build`.
  std::set<std::string> earlier_builds;
  /// Addresses of nodes of an earlier build, which know no sightings of members in messages.
  std::set<std::string> without_sightings;
  /// Number of requests between nodes by path, without the query.
  std::map<std::string, std::size_t> requests;
};

/// One node's HTTP client. Addresses that start with `peer` lead to other nodes, all others to
/// targets.
class node_client final : public net::http_client {
public:
  node_client(support::clock& time, peer_network& network, net::http_client*& targets,
              std::string self)
      : time_(time), network_(network), targets_(targets), self_(std::move(self)) {}

  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

private:
  support::clock& time_;
  peer_network& network_;
  net::http_client*& targets_;
  std::string self_;
};

/// Bound of what cold targets get, in all clusters.
inline constexpr gateway::cold_bound cold_limit{1.5, 5};

/// One edge node with its own connections to the store, the change feed and the network.
struct running_edge {
  std::string id;
  std::string peer_address;
  /// The node's own clock, or nullptr if it uses that of the cluster.
  std::unique_ptr<failing_clock> clock;
  std::unique_ptr<fake_store> store;
  std::unique_ptr<fake_change_feed> feed;
  std::unique_ptr<node_client> client;
  std::unique_ptr<node_prober> prober;
  std::unique_ptr<edge::edge_node> node;
};

/// What the store holds at one moment.
struct store_copy {
  standins::row_table own_rows;
  table_contents tables;
};

/// Simulates edge nodes and the platform in one process and in virtual time.
class edge_cluster {
public:
  /// Starts `count` nodes in two data centres. The first node's address is the seed of all nodes.
  /// `random_seed` is that of the draws.
  explicit edge_cluster(std::size_t count, std::uint64_t random_seed = 1);
  ~edge_cluster();
  edge_cluster(const edge_cluster&) = delete;
  edge_cluster& operator=(const edge_cluster&) = delete;

  void run_for(std::chrono::nanoseconds span) { clock.run_for(span); }
  /// Cold targets take `cold_rate` requests a second; 0 for any number.
  void set_config(std::uint64_t version, double cold_rate = 0);
  /// The same with all details, as `minimal_row_decoder` reads them.
  void set_config(std::uint64_t version, const std::string& details);
  /// Writes a configuration with a service `engines` whose model has groups of `size`.
  void set_config_with_engines(std::uint64_t version, std::size_t size);
  void add_target(const std::string& id, const std::string& data_centre = "",
                  std::chrono::milliseconds warm_up_remaining = {});
  void remove_target(const std::string& id);
  /// Asks the nodes to evacuate a data centre, or ends that.
  void evacuate(const std::string& data_centre);
  void end_evacuation(const std::string& data_centre);

  store_copy copy_store() const { return {own_rows.rows, tables.copy()}; }
  /// Simulates that the store is restored from an older copy. What the operator and the targets
  /// wrote since is written again after `rewrite_delay`.
  void restore_store(store_copy copy, std::chrono::milliseconds rewrite_delay);

  /// Disconnects a node from the store and the change feed, or reconnects it.
  void cut_store(std::size_t index, bool cut, store_cut kind = store_cut::refused);
  /// Simulates that a node's process is killed. Its address becomes unreachable.
  void kill(std::size_t index);
  /// Starts a new process with the id of node `index`, at `address` if it isn't empty.
  void start(std::size_t index, const std::string& address = "");

  /// Sends a request to a node, runs the clock for 100 ms and returns what the node has
  /// responded by then, which may be incomplete.
  std::unique_ptr<recording_writer> call(std::size_t index, const std::string& path = "/plain/x",
                                         const std::string& model = "");
  /// Returns the state report of a node.
  nlohmann::ordered_json state(std::size_t index);
  std::vector<std::string> entries(std::size_t index, const std::string& data_centre) {
    return edges[index]->node->entry_points(data_centre, "example");
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  support::random_source random;
  shared_table own_rows;
  fake_platform_tables tables;
  peer_network network;
  scripted_client targets{clock};
  /// Receives the nodes' requests to targets; the scripted ones unless a test replaces them.
  net::http_client* target_client = &targets;
  minimal_protocol protocol;
  minimal_row_decoder decoder;
  null_instance_client orders;
  /// Whether nodes get a clock of their own when they are started.
  bool gives_own_clocks = false;
  /// Data centres of the nodes, in turn.
  std::vector<std::string> data_centres{"east", "west"};
  gateway::region_map regions;
  std::vector<std::unique_ptr<running_edge>> edges;
  /// Killed processes; they are disconnected from everything.
  std::vector<std::unique_ptr<running_edge>> retired;

private:
  /// Writes a row again unless a newer write has come first.
  support::task<> write_again(std::string table, table::feed_row lost,
                              std::chrono::milliseconds delay);
};

} // namespace camphorlug::fakes
