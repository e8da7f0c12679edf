#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/table/change_feed.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace camphorlug::table {

/// Keeps a node up to date on one table: reads it whole, follows its changes,
/// and reads it again now and then, since a feed may hear nothing without
/// ending. Answers older than what is known are dropped.
class table_follower {
public:
  /// Takes a batch; `whole` tells that rows which are not in it do not exist.
  using listener = std::function<void(const feed_batch& batch, bool whole)>;

  table_follower(support::clock& time, support::random_source& random, change_feed& feed,
                 std::string table, std::chrono::milliseconds reread_interval, listener on_batch);

  /// Follows the feed until the clock is shut down.
  support::task<> follow();
  /// Reads the whole table now and then until the clock is shut down.
  support::task<> reread();
  /// Reads it at once and then now and then, for a table that is not followed.
  support::task<> poll();

  /// Whether the last call to the store had an answer.
  bool is_store_reachable() const { return failures_ == 0; }

  /// When the store last answered; nothing if it never did.
  std::optional<support::clock::time_point> answered_at() const { return answered_at_; }

  /// Calls `action` when the store answers again after it did not.
  void on_reconnected(std::function<void()> action) { on_reconnected_ = std::move(action); }

private:
  support::task<bool> read_snapshot();
  void succeeded();
  void failed(const std::string& reason);

  support::clock& time_;
  support::random_source& random_;
  change_feed& feed_;
  std::string table_;
  std::chrono::milliseconds reread_interval_;
  listener on_batch_;
  std::function<void()> on_reconnected_;
  std::uint64_t version_ = 0;
  std::optional<support::clock::time_point> answered_at_;
  bool needs_snapshot_ = true;
  int failures_ = 0;
};

} // namespace camphorlug::table
