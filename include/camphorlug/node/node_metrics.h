#pragma once

#include "camphorlug/requests/request_observer.h"

#include <memory>
#include <string>

namespace camphorlug::node {

/// Gauges of the node that are sampled when metrics are collected.
struct node_gauges {
  std::size_t waiting_requests = 0;
  std::size_t watched_instances = 0;
  std::size_t live_peers = 0;
  bool isolated = false;
  bool store_reachable = false;
};

/// Gauges of one pool, as its planner on this node reports them. Only the values of the node that
/// plans for the pool count.
struct pool_gauges {
  std::string service;
  std::size_t wanted_groups = 0;
  std::size_t routable_groups = 0;
  std::size_t stranded_instances = 0;
  double group_downtime_seconds = 0;
};

/// Collects the node's metrics and serializes them in the Prometheus text format.
class node_metrics final : public requests::request_observer {
public:
  node_metrics();
  ~node_metrics() override;

  void on_queued(const requests::request_labels& labels, std::chrono::nanoseconds waited) override;
  void on_attempt(const requests::request_labels& labels) override;
  void on_first_token(const requests::request_labels& labels,
                      std::chrono::nanoseconds latency) override;
  void on_inter_token(const requests::request_labels& labels,
                      std::chrono::nanoseconds gap) override;
  void on_resumed(const requests::request_labels& labels) override;
  void on_finished(const requests::request_labels& labels, requests::request_outcome outcome,
                   std::chrono::nanoseconds total) override;

  void set(const node_gauges& gauges);
  void set(const pool_gauges& gauges);

  std::string serialize() const;

private:
  struct families;
  std::unique_ptr<families> families_;
};

} // namespace camphorlug::node
