#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/table/staleness_tracker.h"
#include "camphorlug/table/table_follower.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorlug::edge {

/// Watches how stale this node's copy of a table may be, and logs when that is more than half of
/// the time within which changes must take effect.
class staleness_watch {
public:
  /// `follower` reads the table while this node is a reader of the store.
  staleness_watch(support::clock& time, const table::table_follower& follower, std::string table);

  /// Applies what a peer said in the answer to a request that was sent at `asked_at`: its copy has
  /// `version` and is no more than `staleness` old. This node's copy has the version `held`.
  void apply_peer(std::uint64_t version, std::chrono::milliseconds staleness,
                  support::clock::time_point asked_at, std::uint64_t held);

  /// To be called several times a second with the version of this node's copy, and after each
  /// change of it. `time_limit` is that of changes.
  void update(std::uint64_t held, std::chrono::milliseconds time_limit);

  std::chrono::nanoseconds staleness() const { return tracker_.staleness(); }
  /// Whether nobody that this node hears has had the store for half of the time limit, as of the
  /// last update.
  bool is_stale() const { return is_stale_; }
  /// Whether the store seems to have been away for all nodes, as of the last update: the copy is
  /// stale, and a call of this node failed since it was not.
  bool has_missed_store() const;
  /// What this node tells its peers: rounded up, or nothing if it cannot say.
  std::optional<std::chrono::milliseconds> staleness_to_report() const;

private:
  void log(std::uint64_t held);

  const table::table_follower& follower_;
  std::string table_;
  table::staleness_tracker tracker_;
  bool is_stale_ = false;
};

} // namespace camphorlug::edge
