#pragma once

#include "camphorlug/peers/peer_client.h"
#include "camphorlug/peers/peer_registry.h"
#include "camphorlug/support/notification.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/table/row_cache.h"
#include "camphorlug/watching/instance_directory.h"
#include "camphorlug/watching/observation_cache.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::peers {

/// The state that gossip synchronises between nodes, and its dependencies. All
/// referenced objects must outlive the gossip.
struct gossip_context {
  asio::any_io_executor executor;
  support::clock& time;
  support::random_source& random;
  peer_client& client;
  peer_registry& registry;
  table::row_cache& rows;
  watching::instance_directory& directory;
  watching::observation_cache& observations;
  /// This node's id and peer address.
  std::string self_id;
  std::string self_address;
};

/// Anti-entropy protocol between nodes. About once a second a node starts an
/// exchange with a few random peers, in which both sides receive the node reports
/// and rows that the other side has in a newer version, and the observations of
/// instances that they lack. A row that changes to a newer version is pushed
/// immediately.
class gossip {
public:
  /// `make_report` returns this node's current report with a new sequence number.
  /// `on_own_incarnation` is called with each incarnation under which a peer knows
  /// this node.
  gossip(gossip_context context, std::vector<std::string> seeds,
         std::function<node_report()> make_report,
         std::function<void(std::uint64_t)> on_own_incarnation);

  /// Runs the periodic exchanges until the clock is shut down.
  support::task<> run();

  /// Pushes updated rows to peers until the clock is shut down.
  support::task<> push_changes();

  /// Merges the message of a peer that started an exchange and returns the reply.
  peer_message answer(const peer_message& message);

  /// Starts an exchange with all peers immediately, so that they receive this node's
  /// report.
  support::task<> announce();

  /// Number of exchanges that this node has started.
  std::uint64_t exchanges() const { return exchanges_; }

private:
  std::vector<std::string> choose_addresses(std::size_t count);
  support::task<> exchange_with(std::string address, std::vector<table::row> pushed);
  peer_message make_opening_message();
  void merge(const peer_message& message, support::clock::time_point began);
  void apply_digest(const report_digest& digest, support::clock::time_point now);
  void compare_rows(const peer_message& theirs, peer_message& mine) const;
  std::vector<row_digest> digest_buckets(const std::vector<std::size_t>& buckets) const;
  void add_newer_reports(const peer_message& message, peer_message& reply) const;
  std::vector<std::string> missed_instances() const;
  void add_observations(const std::vector<std::string>& wanted, peer_message& mine) const;

  gossip_context context_;
  std::vector<std::string> seeds_;
  std::function<node_report()> make_report_;
  std::function<void(std::uint64_t)> on_own_incarnation_;
  support::notification changed_;
  std::map<std::string, table::row> unpushed_;
  std::set<std::string> in_progress_;
  std::uint64_t exchanges_ = 0;
};

} // namespace camphorlug::peers
