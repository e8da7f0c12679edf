#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>

namespace camphorlug::net {

class open_connection;

/// Bounds the descriptors that the connections of all servers sharing it take, together with those
/// of the calls that are made for their requests.
///
/// A connection counts once, and twice while a request is in progress on it, because the request
/// needs a connection to a target or to a peer. Beyond the limit the connections that have been
/// idle longest are closed. A connection is idle if it has no request in progress and has received
/// no part of one. Others are never closed.
class connection_budget {
public:
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

  explicit connection_budget(const support::clock& time, std::size_t limit = unlimited)
      : time_(time), limit_(limit) {}
  connection_budget(const connection_budget&) = delete;
  connection_budget& operator=(const connection_budget&) = delete;

  /// Returns the limit for a process that may use so many sockets. The other sockets are for calls
  /// that no request needs and for idle connections to targets and peers.
  static constexpr std::size_t limit_for(std::size_t sockets) {
    return sockets / socket_divisor * connection_parts;
  }
  /// Returns how many idle connections to targets and peers such a process may keep.
  static constexpr std::size_t idle_calls_for(std::size_t sockets) {
    return sockets / socket_divisor / 2;
  }

  void change_limit(std::size_t limit) { limit_ = limit; }

  /// Closes callers' connections that have been idle for at least `limit`.
  void close_idle_for(std::chrono::nanoseconds limit);

  /// Makes room for one more connection. Returns false if there is none and no connection is idle.
  bool make_room();
  /// Counts a connection that was refused for want of room.
  void count_refusal() { ++refused_; }

  /// Number of open connections.
  std::size_t open() const { return open_; }
  std::size_t idle() const { return idle_.size(); }
  std::size_t limit() const { return limit_; }
  /// Number of idle connections that were closed to make room.
  std::uint64_t closed_for_room() const { return closed_for_room_; }
  /// Number of connections that were refused because none was idle.
  std::uint64_t refused() const { return refused_; }

private:
  friend class open_connection;
  using connection_list = std::list<open_connection*>;

  static constexpr std::size_t socket_divisor = 5;
  static constexpr std::size_t connection_parts = 4;

  /// Whether as many further descriptors may be used.
  bool has_room_for(std::size_t further) const;
  bool close_longest_idle();

  const support::clock& time_;
  std::size_t limit_;
  std::size_t open_ = 0;
  /// Connections that are being closed by the budget.
  std::size_t closing_ = 0;
  /// Connections with a request in progress.
  std::size_t busy_ = 0;
  /// The longest idle connection comes first.
  connection_list idle_;
  std::uint64_t closed_for_room_ = 0;
  std::uint64_t refused_ = 0;
};

} // namespace camphorlug::net
