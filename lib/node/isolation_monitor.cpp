#include "camphorlug/node/isolation_monitor.h"

#include "camphorlug/support/log.h"

namespace camphorlug::node {

isolation_monitor::isolation_monitor(support::clock& time, const peers::peer_registry& registry)
    : time_(time), peer_registry_(registry), store_answered_at_(time.now()) {}

void isolation_monitor::record_store_response() {
  store_answered_at_ = time_.now();
}

bool isolation_monitor::store_reachable() const {
  return time_.now() - store_answered_at_ <= contact_timeout;
}

bool isolation_monitor::has_peer_majority_contact() const {
  const auto limit = contact_timeout + peer_registry_.propagation_delay();
  std::size_t heard = 0;
  for (const auto& [id, peer] : peer_registry_.peers())
    heard += time_.now() - peer.heard_at <= limit ? 1 : 0;
  return 2 * heard > peer_registry_.peers().size();
}

void isolation_monitor::update() {
  const bool connected = store_reachable() || has_peer_majority_contact();
  // Without peers no other node could accept a change that this one misses, so a node that
  // never had a peer is not isolated.
  const bool was_isolated = isolated_;
  isolated_ = !connected && (was_isolated || !peer_registry_.peers().empty());
  if (isolated_ != was_isolated)
    support::log_event(support::log_level::warning, isolated_ ? "isolated" : "rejoined");
}

} // namespace camphorlug::node
