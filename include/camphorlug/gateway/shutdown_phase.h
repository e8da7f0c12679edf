#pragma once

namespace camphorlug::gateway {

/// How far a node has come on its way out.
enum class shutdown_phase {
  /// It stays.
  none,
  /// Callers are moving away; it still takes what they send.
  leaving,
  /// What begins now and takes long would be cut by the process's end.
  closing,
};

} // namespace camphorlug::gateway
