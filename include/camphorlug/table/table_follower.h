#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/table/change_feed.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace camphorlug::table {

/// Keeps a node up to date with one table: reads a snapshot, follows the change
/// feed, and rereads snapshots periodically, because a feed may stop reporting
/// changes without failing. It pauses while its gate is closed. Responses older than the known
/// version are ignored. After the store was restored from an older copy (a new era, see
/// store_version.h) the whole table is read again.
class table_follower {
public:
  /// After a failure or a gap the store may report changes this late, and answer with what it held
  /// some seconds ago meanwhile.
  static constexpr std::chrono::milliseconds settling_time{4000};
  static constexpr std::chrono::milliseconds max_poll_time{3000};

  /// Receives each batch. If `is_snapshot`, rows that are absent from the batch did not
  /// exist at its version.
  using listener = std::function<void(const feed_batch& batch, bool is_snapshot)>;

  table_follower(support::clock& time, support::random_source& random, change_feed& feed,
                 std::string table, std::chrono::milliseconds reread_interval, listener on_batch);

  /// Follows the feed until the clock is shut down.
  support::task<> follow();
  /// Reads a snapshot periodically, at a randomized interval, until the clock is shut down.
  support::task<> reread();
  /// Like `reread`, but reads the first snapshot at once; for a table whose feed is not followed.
  support::task<> poll();

  /// Reads a snapshot at once, because the store is known to be in a new era, and further ones
  /// while a call to the feed that began in an earlier era is still waiting.
  support::task<> refresh();

  /// Reads a snapshot now, whether or not the store may be read otherwise. Returns whether the
  /// store answered.
  support::task<bool> read_now() { return read_snapshot(); }
  /// The same on a new connection, without an answer for no longer than `timeout`.
  support::task<bool> read_now_within(std::chrono::milliseconds timeout) {
    return read_snapshot(timeout);
  }

  /// Sets the longest time for which nothing is known about the store, at most `max_poll_time`: so
  /// long do calls to the feed wait for a change from now on.
  void set_poll_time(std::chrono::milliseconds poll_time) {
    poll_time_ = std::min(poll_time, max_poll_time);
  }

  /// Sets the function that decides whether the store may be read now. By default it always may.
  void set_gate(std::function<bool()> may_read) { may_read_ = std::move(may_read); }

  /// Whether the last call to the store succeeded; true before the first call. Turns false at
  /// the first failure, before the store is reported lost.
  bool is_store_reachable() const { return failures_ == 0; }

  /// Whether changes have come without a failure or a gap for `settling_time`. Otherwise those in
  /// the batch that is being applied may be old.
  bool follows_directly() const {
    return disturbed_at_ && time_.now() - *disturbed_at_ >= settling_time;
  }

  /// When the store last responded, or nullopt if it never did.
  std::optional<support::clock::time_point> answered_at() const { return answered_at_; }

  /// The latest moment of which it is known that the store held nothing that the listener has not
  /// received; nothing before the first answer.
  std::optional<support::clock::time_point> complete_as_of() const { return complete_as_of_; }

  /// When a call to the store last failed, or nullopt if none did.
  std::optional<support::clock::time_point> failed_at() const { return failed_at_; }

  /// Sets the function to call when the store responds again after it was reported lost.
  void on_reconnected(std::function<void()> action) { on_reconnected_ = std::move(action); }
  /// Sets the function to call when the store responds for the first time in a new era.
  void on_new_era(std::function<void()> action) { on_new_era_ = std::move(action); }

  /// Makes the next answer of the store count as its return from an outage.
  void treat_next_answer_as_reconnection() { expects_reconnection_ = true; }

private:
  /// Waits `timeout` for each answer on a new connection, if it is given.
  support::task<bool>
  read_snapshot(std::optional<std::chrono::milliseconds> timeout = std::nullopt);
  support::task<feed_batch> read_all(std::optional<std::chrono::milliseconds> timeout);
  std::chrono::milliseconds next_poll_time() const;
  /// Whether the call to the feed that is in progress began in an earlier era.
  bool polls_earlier_era() const;
  void record_success();
  void record_complete(support::clock::time_point as_of);
  void record_failure(const std::string& reason);

  support::clock& time_;
  support::random_source& random_;
  change_feed& feed_;
  std::string table_;
  std::chrono::milliseconds reread_interval_;
  std::chrono::milliseconds poll_time_ = max_poll_time;
  listener on_batch_;
  std::function<void()> on_reconnected_;
  std::function<void()> on_new_era_;
  std::function<bool()> may_read_ = [] { return true; };
  std::uint64_t version_ = 0;
  /// The version from which the call to the feed in progress asks for changes.
  std::optional<std::uint64_t> polled_since_;
  std::optional<support::clock::time_point> answered_at_;
  std::optional<support::clock::time_point> failed_at_;
  std::optional<support::clock::time_point> complete_as_of_;
  bool needs_snapshot_ = true;
  bool expects_reconnection_ = false;
  int failures_ = 0;
  /// The last failure or gap; the first answer if there was none.
  std::optional<support::clock::time_point> disturbed_at_;
};

} // namespace camphorlug::table
