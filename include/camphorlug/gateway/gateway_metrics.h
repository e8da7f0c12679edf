#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace camphorlug::gateway {

/// Values that are read when the metrics are.
struct gateway_gauges {
  std::size_t waiting_requests = 0;
  std::size_t known_targets = 0;
  std::size_t live_peers = 0;
  std::uint64_t config_version = 0;
  bool leads = false;
};

/// Counters and histograms in the Prometheus text format.
class gateway_metrics {
public:
  gateway_metrics();
  ~gateway_metrics();

  /// A request got its final answer. `outcome` is one of few fixed words.
  void count_request(const std::string& route, const std::string& outcome,
                     std::chrono::nanoseconds first_byte);
  /// A request was sent to one target more; `reason` is one of few fixed words.
  void count_retry(const std::string& reason);

  std::string serialize(const gateway_gauges& gauges);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace camphorlug::gateway
