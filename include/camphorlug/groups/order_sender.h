#pragma once

#include "camphorlug/groups/lease.h"
#include "camphorlug/groups/pool_table.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/targets/target_client.h"
#include "camphorlug/watching/instance_directory.h"
#include "camphorlug/watching/observation_cache.h"

#include <asio/any_io_executor.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace camphorlug::groups {

/// Reconciles instances with the table: compares each instance's report with the
/// rows and sends an order where they differ. An order tells an engine to join a
/// group, prepare as a standby, or leave its group.
class order_sender {
public:
  /// Longest time that an order may be in transit. Also the pause before it is sent
  /// again, and the wait of a new lease holder for orders of the previous one.
  static constexpr std::chrono::milliseconds order_timeout{1500};

  order_sender(asio::any_io_executor executor, support::clock& time,
               targets::target_client& targets, const watching::observation_cache& observations,
               const watching::instance_directory& directory, const lease& pool_lease);

  /// Starts sending all due orders, with at most `concurrent_loads` weight loads
  /// in progress at a time.
  void send_due_orders(const pool_table& table, std::size_t concurrent_loads);

  /// Returns a moving average of recent load times.
  std::chrono::nanoseconds load_estimate() const { return load_estimate_; }

private:
  struct pending_order;
  std::vector<pending_order> collect_orders(const pool_table& table) const;
  void collect_group_orders(const group_record& record, std::vector<pending_order>& pending) const;
  void collect_release_orders(const pool_table& table, std::vector<pending_order>& pending) const;
  std::size_t loads_in_progress(const pool_table& table) const;
  void update_load_estimate();
  support::task<> send_order(pending_order pending);

  asio::any_io_executor executor_;
  support::clock& time_;
  targets::target_client& targets_;
  const watching::observation_cache& observations_;
  const watching::instance_directory& directory_;
  const lease& lease_;
  std::set<std::string> in_flight_;
  std::map<std::string, support::clock::time_point> loading_since_;
  std::chrono::nanoseconds load_estimate_{std::chrono::seconds(10)};
};

} // namespace camphorlug::groups
