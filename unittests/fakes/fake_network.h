#pragma once

#include "camphorlug/node/node.h"
#include "camphorlug/peers/peer_client.h"
#include "camphorlug/support/random_source.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace camphorlug::fakes {

/// Simulates the network between nodes, with delays, partitions and message loss.
struct fake_network {
  /// Message handler of each node by address.
  std::map<std::string, std::function<peers::peer_message(const peers::peer_message&)>> nodes;
  /// Pairs of addresses, in either order, that cannot reach each other.
  std::set<std::pair<std::string, std::string>> cuts;
  std::chrono::milliseconds longest_delay{2};
  /// Loss rate per thousand, applied to each message and to each reply.
  std::size_t losses_per_thousand = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;

  bool is_cut(const std::string& one, const std::string& other) const {
    return cuts.contains({one, other}) || cuts.contains({other, one});
  }
};

/// One node's client for its peers.
class fake_peer_client final : public peers::peer_client {
public:
  fake_peer_client(support::clock& time, support::random_source& random, fake_network& network,
                   std::string self)
      : time_(time), random_(random), network_(network), self_(std::move(self)) {}

  support::task<peers::peer_message> exchange(std::string address, peers::peer_message message,
                                              std::chrono::nanoseconds timeout) override;

  /// The process has ended; all its messages are lost.
  bool dead = false;

private:
  support::task<> simulate_transfer(std::string address, std::chrono::nanoseconds timeout);

  support::clock& time_;
  support::random_source& random_;
  fake_network& network_;
  std::string self_;
};

} // namespace camphorlug::fakes
