#pragma once

#include "camphorlug/support/clock.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace camphorlug::gateway {

/// Requests in flight at each target.
using target_loads = std::map<std::string, std::size_t>;

/// Requests that this node and its peers have in flight. Without the peers'
/// counts, each node would fill a target's slots by itself. The sums are kept
/// up to date, so that a choice among many targets does not ask each peer's.
class load_tracker {
public:
  /// A peer's counts are left out when they are older than this, unless `keep_for` says otherwise.
  static constexpr std::chrono::seconds default_peer_load_expiry{2};

  explicit load_tracker(support::clock& time) : time_(time) {}

  void add(const std::string& target);
  void remove(const std::string& target);

  /// Where peers speak less often, their counts are kept for longer.
  void set_peer_load_expiry(std::chrono::nanoseconds span) { peer_load_expiry_ = span; }

  /// Takes a peer's newest counts.
  void update_peer(const std::string& peer, target_loads loads);

  /// In flight at `target`, over all nodes as far as known.
  std::size_t in_flight(const std::string& target);
  /// The same from this node alone.
  std::size_t own(const std::string& target) const;
  const target_loads& own_loads() const { return own_; }

private:
  struct peer_loads {
    std::string peer;
    target_loads loads;
    support::clock::time_point taken_at;
  };
  using peer_iterator = std::list<peer_loads>::iterator;

  void remove_peer(peer_iterator entry);
  void expire_peer_loads();
  void subtract(const std::string& target, std::size_t count);

  support::clock& time_;
  std::chrono::nanoseconds peer_load_expiry_{default_peer_load_expiry};
  target_loads own_;
  /// Own counts and those of all peers below.
  std::unordered_map<std::string, std::size_t> sums_;
  /// The one that was heard longest ago first.
  std::list<peer_loads> by_age_;
  std::unordered_map<std::string, peer_iterator> peers_;
};

} // namespace camphorlug::gateway
