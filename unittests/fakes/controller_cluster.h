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

/// The store as seen by a process that can be suspended. Calls in flight
/// continue while the process is suspended; their results are delivered when
/// it resumes.
class suspendable_store final : public table::table_store {
public:
  suspendable_store(suspendable_clock& process, table::table_store& inner)
      : process_(process), inner_(inner) {}

  support::task<std::vector<table::row>> scan(std::string prefix) override;
  support::task<table::commit_result> commit(table::transaction change) override;
  std::uint64_t era() const override { return inner_.era(); }

private:
  suspendable_clock& process_;
  table::table_store& inner_;
};

/// Network conditions between the controllers and the instances.
struct order_network {
  std::chrono::milliseconds longest_delay{3};
  /// Probability that the answer to an order is lost after the order took effect.
  double lost_answer_probability = 0;
};

/// One process's client for the instances of a pool.
class pool_client final : public replicas::order_client, public replicas::instance_prober {
public:
  pool_client(support::clock& cluster_clock, suspendable_clock& process, emulated_pool& pool,
              std::mt19937_64& random, const order_network& network)
      : cluster_clock_(cluster_clock), process_(process), pool_(pool), random_(random),
        network_(network) {}

  support::task<replicas::order_result> send(replicas::replica_order order,
                                             std::function<bool()> send_if) override;
  support::task<bool> probe(gateway::target_entry entry) override;
  support::task<replicas::process_state> ask_process(gateway::target_entry entry) override {
    const bool answers = co_await probe(std::move(entry));
    co_return answers ? replicas::process_state::running : replicas::process_state::ended;
  }
  support::task<replicas::report_result> report(gateway::target_entry entry) override;

private:
  support::task<> simulate_transfer();

  support::clock& cluster_clock_;
  suspendable_clock& process_;
  emulated_pool& pool_;
  std::mt19937_64& random_;
  const order_network& network_;
};

/// A process with a replica controller, which acts while it holds the lease.
struct controller_process {
  controller_process(support::virtual_clock& cluster_clock, shared_table& table,
                     emulated_pool& pool, std::mt19937_64& random, const order_network& network)
      : process(cluster_clock), connection(cluster_clock, table), store(process, connection),
        client(cluster_clock, process, pool, random, network) {}

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
  /// The process and its peers exchange no messages.
  bool peers_unreachable = false;
};

/// Simulates replica controllers with their leases and one emulated pool, in
/// virtual time. Every 20 ms an observer checks that at most one process holds
/// the lease and that lease numbers never decrease.
class controller_cluster {
public:
  explicit controller_cluster(std::uint64_t seed);
  ~controller_cluster();
  controller_cluster(const controller_cluster&) = delete;
  controller_cluster& operator=(const controller_cluster&) = delete;

  void run_for(std::chrono::nanoseconds span) { clock.run_for(span); }
  /// Runs until `done` holds or `limit` has passed; returns whether `done` holds.
  bool run_until(const std::function<bool()>& done, std::chrono::nanoseconds limit);
  /// Kills a process and starts another one in its place.
  void replace_node(std::size_t index);
  /// Returns the process that holds the lease, or null.
  controller_process* leader();
  /// Descriptions of the violated invariants of the pool and the lease.
  std::vector<std::string> violations() const;

  asio::io_context context;
  support::virtual_clock clock{context};
  std::mt19937_64 random;
  shared_table table;
  order_network network;
  gateway::engine_profile engine;
  emulated_pool pool;
  std::vector<std::unique_ptr<controller_process>> nodes;
  /// Killed processes; they stay suspended forever.
  std::vector<std::unique_ptr<controller_process>> retired;
  /// Number of times a process acquired the lease with a new number, including the first.
  std::size_t takeovers = 0;

private:
  std::unique_ptr<controller_process> make_process();
  /// Applies the entries as they are now after `delay`. Returns whether the store answered.
  support::task<bool> read_entries(controller_process& node, std::chrono::milliseconds delay);
  support::task<> follow_entries(controller_process& node);
  support::task<> observe();

  std::uint64_t last_number_ = 0;
  std::size_t names_ = 0;
  std::vector<std::string> lease_violations_;
};

} // namespace camphorlug::fakes
