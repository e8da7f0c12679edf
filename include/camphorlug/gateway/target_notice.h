#pragma once

namespace camphorlug::gateway {

/// What a target says about itself in a response, whatever the response answers.
struct target_notice {
  /// It shuts down and accepts no new requests.
  bool leaving = false;
};

} // namespace camphorlug::gateway
