#pragma once

namespace camphorlug::gateway {

/// Progress of a node's shutdown.
enum class shutdown_phase {
  /// The node is not shutting down.
  none,
  /// Callers are moving to other nodes. The node still accepts all requests.
  leaving,
  /// A long request that starts now would be cut off when the process ends.
  closing,
};

} // namespace camphorlug::gateway
