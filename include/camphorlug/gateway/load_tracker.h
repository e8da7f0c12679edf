#pragma once

#include "camphorlug/support/clock.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace camphorlug::gateway {

/// Number of requests in flight, by target.
using target_loads = std::map<std::string, std::size_t>;

/// Counts the requests that this node and its peers have in flight. Without the
/// peers' counts, each node would fill all of a target's slots on its own. The
/// sums are maintained incrementally, so that choosing among many targets does not
/// iterate over all peers.
class load_tracker {
public:
  /// Age at which a peer's counts are dropped, unless `set_peer_load_expiry` sets
  /// another one.
  static constexpr std::chrono::seconds default_peer_load_expiry{2};

  explicit load_tracker(support::clock& time) : time_(time) {}

  void add(const std::string& target);
  void remove(const std::string& target);

  /// Sets how long a peer's counts are kept. Peers that report less often need a
  /// longer expiry.
  void set_peer_load_expiry(std::chrono::nanoseconds span) { peer_load_expiry_ = span; }

  /// Replaces the counts of `peer`.
  void update_peer(const std::string& peer, target_loads loads);

  /// Drops the counts of all peers.
  void clear_peers();

  /// Requests in flight by target, from this node and all peers but `peer`.
  target_loads sums_without(const std::string& peer) const;

  /// Requests in flight at `target` from this node and all peers with current counts.
  std::size_t in_flight(const std::string& target);
  /// Requests in flight at `target` from this node alone.
  std::size_t own(const std::string& target) const;
  const target_loads& own_loads() const { return own_; }

private:
  struct peer_loads {
    std::string peer;
    target_loads loads;
    support::clock::time_point updated_at;
  };
  using peer_iterator = std::list<peer_loads>::iterator;

  void remove_peer(peer_iterator entry);
  void expire_peer_loads();
  void subtract(const std::string& target, std::size_t count);

  support::clock& time_;
  std::chrono::nanoseconds peer_load_expiry_{default_peer_load_expiry};
  target_loads own_;
  /// This node's counts plus those of all peers in `by_age_`.
  std::unordered_map<std::string, std::size_t> sums_;
  /// Ordered by time of the last update, oldest first.
  std::list<peer_loads> by_age_;
  std::unordered_map<std::string, peer_iterator> peers_;
};

} // namespace camphorlug::gateway
