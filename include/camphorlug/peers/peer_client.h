#pragma once

#include "camphorlug/peers/peer_message.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <string>

namespace camphorlug::peers {

/// The way by which a node speaks to another node.
class peer_client {
public:
  peer_client() = default;
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;
  virtual ~peer_client() = default;

  /// Sends one half of an exchange and returns the other. Throws std::exception
  /// when there is no answer.
  virtual support::task<peer_message> exchange(std::string address, peer_message message,
                                               std::chrono::nanoseconds timeout) = 0;
};

} // namespace camphorlug::peers
