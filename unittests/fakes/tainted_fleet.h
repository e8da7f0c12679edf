#pragma once

#include "fakes/edge_cluster.h"
#include "fakes/faulty_targets.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// A fleet before targets that crash under some requests and come back as other instances, and its
/// callers.
struct tainted_fleet : edge_cluster {
  struct caller {
    recording_writer writer;
    support::clock::time_point sent_at;
    bool deadly = false;
  };

  static constexpr std::chrono::seconds time_until_target_is_back{3};
  static constexpr std::chrono::milliseconds interval{20};
  static constexpr std::size_t topics = 4;
  static constexpr double deadly_share = 0.06;

  tainted_fleet(std::size_t nodes, std::size_t targets, std::uint64_t random_seed = 1);
  /// Ends the requests, which refer to members.
  ~tainted_fleet();
  tainted_fleet(const tainted_fleet&) = delete;
  tainted_fleet& operator=(const tainted_fleet&) = delete;

  /// Sends a request with prompt parts, separated by spaces.
  void send(std::size_t node, const std::string& parts);
  void send(std::size_t node, net::server_request request, bool is_deadly);

  /// Sends requests to random nodes for `span`, a share of them with the deadly part.
  /// All share the first part, and all with the deadly part share a topic with sound ones.
  void send_requests(std::chrono::milliseconds span, bool deadly_first);

  /// Sends requests with and without the deadly part until the first node bans the part.
  void play_until_banned();

  /// Runs the clock until the node is ready, for five seconds at the most.
  void wait_until_ready(std::size_t node);

  /// Crashes `count` random targets.
  void crash_live_targets(std::size_t count);

  /// Number of bans that the node knows.
  std::size_t banned(std::size_t node) { return state(node)["banned_parts"].size(); }

  /// Number of requests with the deadly part or body that reached a target after `start`.
  std::size_t deadly_arrivals_after(support::clock::time_point start) const;

  /// Fraction of sound requests sent after `start` that were answered.
  double served_after(support::clock::time_point start) const;

  const std::string deadly = "deadly";
  faulty_targets side;
  std::vector<std::unique_ptr<caller>> callers;

private:
  support::task<> replace(std::string id);
};

/// A way in which node 2 leaves the fleet and comes back.
struct node_return {
  const char* name;
  void (*play)(tainted_fleet&);
};

std::ostream& operator<<(std::ostream& out, const node_return& each);

const std::vector<node_return>& node_returns();

} // namespace camphorlug::fakes
