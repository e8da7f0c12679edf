#pragma once

#include "camphorlug/peers/peer_message.h"
#include "camphorlug/support/task.h"

#include <chrono>
#include <string>

namespace camphorlug::peers {

/// Interface for sending messages to other nodes.
class peer_client {
public:
  peer_client() = default;
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;
  virtual ~peer_client() = default;

  /// Sends `message` to the node at `address` and returns its reply. Throws
  /// std::exception if there is no valid reply.
  virtual support::task<peer_message> exchange(std::string address, peer_message message,
                                               std::chrono::nanoseconds timeout) = 0;
};

} // namespace camphorlug::peers
