#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>

namespace camphorlug::routing {

/// Limits the requests that one node may have in progress at one target, with
/// additive increase and multiplicative decrease: the window grows by one per
/// window of timely responses, and shrinks by a factor when the target responds
/// late or refuses. Nodes that share a target converge on their shares without
/// communicating.
class concurrency_window {
public:
  explicit concurrency_window(std::size_t max_size);

  /// Number of requests that may be in progress; at least one.
  std::size_t size() const { return static_cast<std::size_t>(size_); }

  void set_max_size(std::size_t max_size);

  /// Records that a response began within the service's first-token target.
  void on_timely_response();

  /// Records a late response or a refusal. Shrinks the window at most once per
  /// second.
  void on_overload(support::clock::time_point now);

private:
  double size_;
  double max_size_;
  support::clock::time_point shrunk_at_;
  bool has_shrunk_ = false;
};

} // namespace camphorlug::routing
