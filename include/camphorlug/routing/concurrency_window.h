#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>

namespace camphorlug::routing {

/// How many requests one node may have at one target: grows by one for each
/// window's worth of timely answers, shrinks by a factor when the target is
/// late or refuses. Nodes that share a target find their shares without talking.
class concurrency_window {
public:
  explicit concurrency_window(std::size_t highest);

  /// Whole requests that may be in progress; at least one.
  std::size_t size() const { return static_cast<std::size_t>(size_); }

  void set_max_size(std::size_t highest);

  /// A request began to answer within the target time.
  void on_timely_answer();

  /// A request was late or refused. Shrinks at most once a second.
  void on_overload(support::clock::time_point now);

private:
  double size_;
  double max_size_;
  support::clock::time_point shrunk_at_;
  bool has_shrunk_ = false;
};

} // namespace camphorlug::routing
