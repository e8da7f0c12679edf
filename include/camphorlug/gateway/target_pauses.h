#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphorlug::gateway {

/// Targets that refused a request and told for how long they want no further one from this node.
///
/// Several requests to a target that has become full are refused at almost the same time, each
/// with its own wait. A request sent earlier would be refused as well, so that, unlike a suspicion,
/// a pause holds even if no other target can serve. It concerns this node only.
class target_pauses {
public:
  /// Longer waits are cut to this, so that sums of times cannot overflow.
  static constexpr std::chrono::hours max_wait{24};

  explicit target_pauses(support::clock& time) : time_(time) {}

  /// Begins or extends a pause of the start `started_at_ms` of a target; the latest end counts.
  void pause(const std::string& target, std::int64_t started_at_ms, std::chrono::nanoseconds wait);

  /// End of the pause of that start of the target; nothing if it accepts requests.
  std::optional<support::clock::time_point> end(const std::string& target,
                                                std::int64_t started_at_ms) const;

  /// Whether no target pauses.
  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }

  /// Drops pauses that are over. Call it a few times a second.
  void expire();

private:
  struct record {
    std::int64_t started_at_ms = 0;
    support::clock::time_point until;
  };

  support::clock& time_;
  std::map<std::string, record> records_;
};

} // namespace camphorlug::gateway
