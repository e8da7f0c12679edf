#include "camphorlug/node/node_builder.h"

#include <stdexcept>

namespace camphorlug::node {

node_builder& node_builder::settings(node_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

node_builder& node_builder::clock(support::clock& time) {
  time_ = &time;
  return *this;
}

node_builder& node_builder::random(support::random_source& random) {
  random_ = &random;
  return *this;
}

node_builder& node_builder::store(table::table_store& store) {
  store_ = &store;
  return *this;
}

node_builder& node_builder::instances(table::instance_list& instances) {
  instances_ = &instances;
  return *this;
}

node_builder& node_builder::targets(targets::target_client& targets) {
  targets_ = &targets;
  return *this;
}

node_builder& node_builder::peers(peers::peer_client& peers) {
  peers_ = &peers;
  return *this;
}

std::unique_ptr<node> node_builder::build() {
  if (!settings_ || !time_ || !random_ || !store_ || !instances_ || !targets_ || !peers_)
    throw std::logic_error("node_builder requires settings, clock, random source, store, "
                           "instance list, target client and peer client");
  node_context context{executor_, *time_, *random_, *store_, *instances_, *targets_, *peers_};
  return std::make_unique<node>(context, std::move(*settings_));
}

} // namespace camphorlug::node
