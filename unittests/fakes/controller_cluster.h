#pragma once

#include "camphorlug/groups/table_lease.h"
#include "camphorlug/replicas/replica_controller.h"
#include "camphorlug/support/virtual_clock.h"

#include "fakes/emulated_pool.h"
#include "fakes/fake_store.h"
#include "fakes/suspendable_clock.h"

#include <asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// The store as one process sees it: calls that are under way go on while the
/// process is suspended, and their answers wait for it.
class suspendable_store final : public table::table_store {
public:
  suspendable_store(suspendable_clock& process, table::table_store& inner)
      : process_(process), inner_(inner) {}

  support::task<std::vector<table::row>> scan(std::string prefix) override;
  support::task<table::commit_result> commit(table::transaction change) override;

private:
  suspendable_clock& process_;
  table::table_store& inner_;
};

/// How the network treats what keepers send to instances.
struct order_network {
  std::chrono::milliseconds longest_delay{3};
  /// Part of the answers that are lost after the order took effect.
  double lost_answer_probability = 0;
};

/// One process's way to the instances of a pool.
class pool_client final : public replicas::order_client, public replicas::instance_prober {
public:
  pool_client(support::clock& world, suspendable_clock& process, emulated_pool& pool,
              std::mt19937_64& random, const order_network& network)
      : world_(world), process_(process), pool_(pool), random_(random), network_(network) {}

  support::task<replicas::order_result> send(replicas::replica_order order,
                                             std::function<bool()> send_if) override;
  support::task<bool> answers(gateway::target_entry entry) override;

private:
  support::task<> simulate_transfer();

  support::clock& world_;
  suspendable_clock& process_;
  emulated_pool& pool_;
  std::mt19937_64& random_;
  const order_network& network_;
};

/// One process that may keep the groups.
struct controller_process {
  controller_process(support::virtual_clock& world, shared_table& table, emulated_pool& pool,
                     std::mt19937_64& random, const order_network& network)
      : process(world), connection(world, table), store(process, connection),
        client(world, process, pool, random, network) {}

  std::string id;
  suspendable_clock process;
  fake_store connection;
  suspendable_store store;
  pool_client client;
  support::random_source identifiers{1};
  gateway::active_config config{process};
  gateway::target_registry registry{process};
  std::unique_ptr<groups::table_lease> lease;
  std::unique_ptr<replicas::replica_controller> controller;
  /// It hears nothing of the others.
  bool peers_unreachable = false;
};

/// Keepers with their leases before one emulated pool, in virtual time. An
/// observer looks after each 20 ms whether two hold the lease at once.
class controller_cluster {
public:
  explicit controller_cluster(std::uint64_t seed);
  ~controller_cluster();
  controller_cluster(const controller_cluster&) = delete;
  controller_cluster& operator=(const controller_cluster&) = delete;

  void run_for(std::chrono::nanoseconds span) { clock.run_for(span); }
  /// Runs until `done` holds or `limit` has passed; returns which.
  bool run_until(const std::function<bool()>& done, std::chrono::nanoseconds limit);
  /// Another process takes the place of a node that was killed.
  void replace_node(std::size_t index);
  /// The node that holds the lease, or null.
  controller_process* leader();
  /// Rules that were broken, in words.
  std::vector<std::string> violations() const;

  asio::io_context context;
  support::virtual_clock clock{context};
  std::mt19937_64 random;
  shared_table table;
  order_network network;
  gateway::engine_profile engine;
  emulated_pool pool;
  std::vector<std::unique_ptr<controller_process>> nodes;
  /// Killed processes; they are suspended for good.
  std::vector<std::unique_ptr<controller_process>> retired;
  std::size_t takeovers = 0;

private:
  std::unique_ptr<controller_process> make_node();
  support::task<> follow_entries(controller_process& node);
  support::task<> observe();

  std::uint64_t last_number_ = 0;
  std::size_t names_ = 0;
  std::vector<std::string> lease_violations_;
};

} // namespace camphorlug::fakes
