#pragma once

#include "camphorlug/node/node.h"

#include <memory>
#include <optional>

namespace camphorlug::node {

/// Assembles a node from its settings and its external dependencies.
class node_builder {
public:
  explicit node_builder(asio::any_io_executor executor) : executor_(std::move(executor)) {}

  node_builder& settings(node_settings settings);
  node_builder& clock(support::clock& time);
  node_builder& random(support::random_source& random);
  node_builder& store(table::table_store& store);
  node_builder& instances(table::instance_list& instances);
  node_builder& targets(targets::target_client& targets);
  node_builder& peers(peers::peer_client& peers);

  /// Throws std::logic_error if a dependency is missing.
  std::unique_ptr<node> build();

private:
  asio::any_io_executor executor_;
  std::optional<node_settings> settings_;
  support::clock* time_ = nullptr;
  support::random_source* random_ = nullptr;
  table::table_store* store_ = nullptr;
  table::instance_list* instances_ = nullptr;
  targets::target_client* targets_ = nullptr;
  peers::peer_client* peers_ = nullptr;
};

} // namespace camphorlug::node
