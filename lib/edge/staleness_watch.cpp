#include "camphorlug/edge/staleness_watch.h"

#include "camphorlug/support/log.h"

namespace camphorlug::edge {

/// Part of the time limit of changes from which on a copy is logged as stale.
static constexpr double stale_fraction = 0.5;

static std::chrono::milliseconds to_milliseconds(std::chrono::nanoseconds span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

staleness_watch::staleness_watch(support::clock& time, const table::table_follower& follower,
                                 std::string table)
    : follower_(follower), table_(std::move(table)), tracker_(time) {}

void staleness_watch::apply_peer(std::uint64_t version, std::chrono::milliseconds staleness,
                                 support::clock::time_point asked_at, std::uint64_t held) {
  tracker_.confirm_version(version, asked_at - staleness, held);
}

void staleness_watch::update(std::uint64_t held, std::chrono::milliseconds time_limit) {
  if (const auto as_of = follower_.complete_as_of())
    tracker_.confirm(*as_of);
  tracker_.update_held(held);
  const bool is_stale = tracker_.staleness() > time_limit * stale_fraction;
  if (is_stale == is_stale_)
    return;
  is_stale_ = is_stale;
  log(held);
}

bool staleness_watch::has_missed_store() const {
  const auto failed_at = follower_.failed_at();
  return is_stale_ && failed_at && (!tracker_.as_of() || *failed_at > *tracker_.as_of());
}

/// A newer version elsewhere tells that the way between the nodes fails; without one, no node that
/// this one hears has had an answer of the store.
void staleness_watch::log(std::uint64_t held) {
  support::log_event(is_stale_ ? support::log_level::warning : support::log_level::info,
                     is_stale_ ? "copy_stale" : "copy_current",
                     {{"table", table_},
                      {"staleness_ms", std::to_string(to_milliseconds(staleness()).count())},
                      {"held", std::to_string(held)},
                      {"newest", std::to_string(tracker_.newest_version())}});
}

std::optional<std::chrono::milliseconds> staleness_watch::staleness_to_report() const {
  if (!tracker_.as_of())
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(staleness());
}

} // namespace camphorlug::edge
