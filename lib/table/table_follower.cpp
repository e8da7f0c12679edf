#include "camphorlug/table/table_follower.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>
#include <utility>

namespace camphorlug::table {

/// Pause after a batch of changes, so that further changes arrive in one response: each call
/// to the store is paid for.
static constexpr std::chrono::milliseconds batching_pause{80};
/// Keeps outdated answers from being asked for again and again.
static constexpr std::chrono::milliseconds min_poll_time{80};
static constexpr std::chrono::milliseconds first_backoff{100};
static constexpr std::chrono::milliseconds max_backoff{800};
/// Interval at which a follower whose gate is closed checks it again.
static constexpr std::chrono::milliseconds gate_check_interval{50};
/// Interval of snapshots while the feed cannot report changes of the new era.
static constexpr std::chrono::milliseconds refresh_interval{300};
/// Consecutive failures after which the store is reported as lost.
static constexpr int lost_after_failures = 2;

table_follower::table_follower(support::clock& time, support::random_source& random,
                               change_feed& feed, std::string table,
                               std::chrono::milliseconds reread_interval, listener on_batch)
    : time_(time), random_(random), feed_(feed), table_(std::move(table)),
      reread_interval_(reread_interval), on_batch_(std::move(on_batch)) {}

void table_follower::record_success() {
  if (std::exchange(expects_reconnection_, false) || failures_ >= lost_after_failures) {
    support::log_event(support::log_level::info, "store_regained",
                       {{"table", table_}, {"version", std::to_string(version_)}});
    if (on_reconnected_)
      on_reconnected_();
  }
  if (!disturbed_at_)
    disturbed_at_ = time_.now();
  failures_ = 0;
  answered_at_ = time_.now();
}

void table_follower::record_complete(support::clock::time_point as_of) {
  complete_as_of_ = complete_as_of_ ? std::max(*complete_as_of_, as_of) : as_of;
}

void table_follower::record_failure(const std::string& reason) {
  disturbed_at_ = time_.now();
  failed_at_ = time_.now();
  if (++failures_ == lost_after_failures)
    support::log_event(support::log_level::warning, "store_lost",
                       {{"table", table_}, {"error", reason}});
}

support::task<feed_batch>
table_follower::read_all(std::optional<std::chrono::milliseconds> timeout) {
  return timeout ? feed_.read_all_within(table_, *timeout) : feed_.read_all(table_);
}

support::task<bool>
table_follower::read_snapshot(std::optional<std::chrono::milliseconds> timeout) {
  std::string reason;
  const auto asked_at = time_.now();
  try {
    const feed_batch batch = co_await read_all(timeout);
    record_success();
    if (batch.version < version_)
      co_return false;
    // Entries that were written again just now may be missing, as after an outage.
    if (version_ != 0 && era_of(batch.version) > era_of(version_) && on_new_era_)
      on_new_era_();
    version_ = batch.version;
    on_batch_(batch, true);
    record_complete(asked_at);
    co_return true;
  } catch (const store_error& error) {
    reason = error.what();
  }
  record_failure(reason);
  co_return false;
}

/// An answer with rows tells only of the moment of its call, so the next call waits for as much
/// less as that moment has passed.
std::chrono::milliseconds table_follower::next_poll_time() const {
  if (!complete_as_of_)
    return poll_time_;
  const auto passed =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - *complete_as_of_);
  return std::clamp(poll_time_ - passed, std::min(min_poll_time, poll_time_), poll_time_);
}

support::task<> table_follower::follow() {
  for (;;) {
    if (!may_read_()) {
      needs_snapshot_ = true;
      disturbed_at_ = time_.now();
      co_await time_.sleep_for(gate_check_interval);
      continue;
    }
    bool healthy = true;
    if (needs_snapshot_) {
      healthy = co_await read_snapshot();
      needs_snapshot_ = !healthy;
    } else {
      std::string reason;
      try {
        const std::uint64_t since = version_;
        const auto asked_at = time_.now();
        const auto poll_time = next_poll_time();
        polled_since_ = since;
        const feed_batch batch = co_await feed_.changes(table_, since, poll_time);
        polled_since_.reset();
        record_success();
        needs_snapshot_ = batch.history_truncated;
        if (batch.history_truncated)
          disturbed_at_ = time_.now();
        // A snapshot of a later era may have been read meanwhile.
        const bool is_outdated = era_of(batch.version) < era_of(version_);
        if (!batch.history_truncated && !is_outdated && batch.version >= since) {
          on_batch_(batch, false);
          version_ = std::max(version_, batch.version);
          // The store answers without a row only when it has waited the whole time.
          record_complete(batch.rows.empty() ? std::min(asked_at + poll_time, time_.now())
                                             : asked_at);
        }
        if (!batch.rows.empty())
          co_await time_.sleep_for(batching_pause);
      } catch (const store_error& error) {
        reason = error.what();
        healthy = false;
      }
      polled_since_.reset();
      if (!healthy)
        record_failure(reason);
    }
    if (healthy)
      continue;
    const auto backoff = std::min(first_backoff * (1 << std::min(failures_, 3)), max_backoff);
    co_await time_.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
        backoff * (0.5 + random_.uniform_real())));
  }
}

bool table_follower::polls_earlier_era() const {
  return polled_since_ && era_of(*polled_since_) < era_of(version_);
}

support::task<> table_follower::refresh() {
  do {
    if (!may_read_())
      co_return;
    co_await read_snapshot();
    co_await time_.sleep_for(refresh_interval);
  } while (polls_earlier_era());
}

support::task<> table_follower::reread() {
  for (;;) {
    co_await time_.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
        reread_interval_ * (0.75 + 0.5 * random_.uniform_real())));
    if (may_read_())
      co_await read_snapshot();
  }
}

support::task<> table_follower::poll() {
  while (!may_read_())
    co_await time_.sleep_for(gate_check_interval);
  co_await read_snapshot();
  co_await reread();
}

} // namespace camphorlug::table
