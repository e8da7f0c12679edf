#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace camphorlug::gateway {

/// Gauge values, read when the metrics are exported.
struct gateway_gauges {
  std::size_t waiting_requests = 0;
  /// Requests of all nodes that wait for slots which this node schedules.
  std::size_t scheduled_requests = 0;
  std::size_t known_targets = 0;
  std::size_t live_peers = 0;
  std::uint64_t config_version = 0;
  std::uint64_t store_era = 0;
  /// How stale the node's copies of the configuration's and the targets' tables may be.
  std::chrono::nanoseconds config_staleness{0};
  std::chrono::nanoseconds target_staleness{0};
  std::size_t evacuated_data_centres = 0;
  std::size_t cold_targets = 0;
  /// Bytes that the node holds of requests and responses, and the limit; 0 if there is none.
  std::size_t held_bytes = 0;
  std::size_t held_bytes_limit = 0;
  /// Times that something was refused or put off because of that limit.
  std::uint64_t memory_denials = 0;
  /// Members of groups that serve although the members' entries have lapsed.
  std::size_t held_members = 0;
  bool leads = false;
  /// Connections of clients to this node, those of them that are idle, and the bound of the
  /// descriptors that they and their calls take; 0 if there is none.
  std::size_t open_connections = 0;
  std::size_t idle_connections = 0;
  std::size_t connection_limit = 0;
  /// Idle connections that were closed to make room, and connections that were refused.
  std::uint64_t connections_closed_for_room = 0;
  std::uint64_t refused_connections = 0;
  std::uint64_t accept_errors = 0;
};

/// Counters, histograms and gauges, exported in the Prometheus text format.
class gateway_metrics {
public:
  gateway_metrics();
  ~gateway_metrics();

  /// Counts a finished request. `outcome` must be one of a few fixed values.
  void count_request(const std::string& route, const std::string& outcome,
                     std::chrono::nanoseconds first_byte);
  /// Counts a retry. `reason` must be one of a few fixed values.
  void count_retry(const std::string& reason);

  /// Counts the regular end of a stream, by how the target marked it (`end`) and whether that
  /// target had resumed it.
  void count_stream_end(const std::string& end, bool resumed);
  /// Counts a request whose targets were silent until one went on. `outcome` must be one of a few
  /// fixed values.
  void count_silence(const std::string& outcome);
  /// Counts second tries of slow requests. `event` must be one of a few fixed values.
  void count_second_try(const std::string& event);
  /// Counts a new notice of a target. `notice` must be one of a few fixed values.
  void count_notice(const std::string& notice);
  /// Counts a request that got no slot, or got one late, while a cold target had a free one.
  /// `outcome` must be one of a few fixed values.
  void count_cold_wait(const std::string& outcome);

  /// Returns all metrics in the text format.
  std::string serialize(const gateway_gauges& gauges);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace camphorlug::gateway
