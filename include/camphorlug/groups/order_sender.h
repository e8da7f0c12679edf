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

/// Brings each instance to what the rows say of it: compares reports with rows
/// and sends an order where they differ.
class order_sender {
public:
  /// Longest time that an order may take on its way.
  static constexpr std::chrono::milliseconds order_timeout{1500};

  order_sender(asio::any_io_executor executor, support::clock& time,
               targets::target_client& targets, const watching::observation_cache& board,
               const watching::instance_directory& directory, const lease& holding);

  /// Starts the orders that are due, at most `concurrent_loads` loads at a time.
  void send_due(const pool_table& table, std::size_t concurrent_loads);

  /// How long a load took lately.
  std::chrono::nanoseconds load_estimate() const { return load_estimate_; }

private:
  struct wanted_order;
  std::vector<wanted_order> collect(const pool_table& table) const;
  void collect_group(const group_record& record, std::vector<wanted_order>& wanted) const;
  void collect_strays(const pool_table& table, std::vector<wanted_order>& wanted) const;
  std::size_t loads_in_progress(const pool_table& table) const;
  void learn_load_times();
  support::task<> send(wanted_order wanted);

  asio::any_io_executor executor_;
  support::clock& time_;
  targets::target_client& targets_;
  const watching::observation_cache& board_;
  const watching::instance_directory& directory_;
  const lease& lease_;
  std::set<std::string> in_flight_;
  std::map<std::string, support::clock::time_point> loading_since_;
  std::chrono::nanoseconds load_estimate_{std::chrono::seconds(10)};
};

} // namespace camphorlug::groups
