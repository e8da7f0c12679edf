#include "camphorlug/edge/departure_checker.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::edge {

using std::chrono::milliseconds;

static constexpr milliseconds check_interval{50};
static constexpr milliseconds read_interval{400};
/// The store's news may arrive this much later than the end of a response at the same moment.
static constexpr milliseconds news_delay{100};
/// The kernel closes the connections of a process that has died within this time.
static constexpr milliseconds common_end_window{100};
/// A process that has died is found silent within this time.
static constexpr milliseconds end_memory{10000};
/// Part of the report interval after which the next report is overdue.
static constexpr double overdue_factor = 1.75;

/// Whether the process's row says that its group is broken, or another one than `target` had.
static bool has_cut_off_work(const gateway::target_entry& row,
                             const gateway::target_entry& target) {
  if (row.membership && row.membership->state == gateway::membership_state::broken)
    return true;
  return target.membership &&
         (!row.membership || row.membership->epoch != target.membership->epoch);
}

support::task<bool> departure_checker::has_completed(gateway::target_entry target,
                                                     support::clock::time_point ended_at,
                                                     support::clock::time_point until) {
  if (!context_.registry.find_departure(target.id, target.started_at_ms))
    co_return false;
  const gateway::target_start process{target.id, target.started_at_ms};
  record_end(process, ended_at);
  const evidence found = co_await wait_for_evidence(target, ended_at, until);
  bool completed = found == evidence::lives || found == evidence::has_left;
  const char* reason = "it has reported again";
  if (found == evidence::has_left)
    reason = "its row was removed";
  else if (found == evidence::has_failed)
    reason = "it reports no more, or has cut off its work";
  else if (found == evidence::none) {
    reason = "nothing is known of it";
    completed =
        has_had_time_to_stop_listening(target, ended_at) && has_ended_alone(process, ended_at);
  }
  support::log_event(
      support::log_level::info, "leaving_target_closed",
      {{"target", target.id}, {"completed", completed ? "yes" : "no"}, {"reason", reason}});
  co_return completed;
}

support::task<departure_checker::evidence>
departure_checker::wait_for_evidence(const gateway::target_entry& target,
                                     support::clock::time_point ended_at,
                                     support::clock::time_point until) {
  const auto known = context_.registry.find_departure(target.id, target.started_at_ms);
  // The store tells no more of a process whose row was removed while it went on.
  const bool has_no_row = known && known->removed_at && *known->removed_at < ended_at - news_delay;
  const auto longest_wait = has_no_row ? std::chrono::nanoseconds(2 * common_end_window)
                                       : std::chrono::duration_cast<std::chrono::nanoseconds>(
                                             timing_.report_interval * overdue_factor);
  const auto gives_up_at = std::min(until, ended_at + longest_wait);
  // What this node knows of the row may be older than the end of the response, so only a report
  // that comes after a read is new.
  std::optional<support::clock::time_point> compared_since;
  for (;;) {
    if (!has_no_row)
      co_await read_if_due();
    const auto now = context_.time.now();
    if (!compared_since && read_at_ && *read_at_ >= ended_at)
      compared_since = now;
    const evidence found = find_evidence(target, ended_at, compared_since);
    if (found != evidence::none)
      co_return found;
    if (now >= gives_up_at)
      break;
    co_await context_.time.sleep_for(check_interval);
  }
  const bool is_overdue = compared_since && *read_at_ >= *compared_since + timing_.report_interval;
  co_return is_overdue ? evidence::has_failed : evidence::none;
}

departure_checker::evidence
departure_checker::find_evidence(const gateway::target_entry& target,
                                 support::clock::time_point ended_at,
                                 std::optional<support::clock::time_point> compared_since) const {
  const auto known = context_.registry.find_departure(target.id, target.started_at_ms);
  const gateway::target_entry* row = context_.registry.find(target.id);
  if (!known || (row && has_cut_off_work(*row, target)))
    return evidence::has_failed;
  if (known->removed_at && *known->removed_at >= ended_at - news_delay)
    return evidence::has_left;
  if (compared_since && known->reported_at && *known->reported_at > *compared_since)
    return evidence::lives;
  return evidence::none;
}

support::task<> departure_checker::read_if_due() {
  const auto now = context_.time.now();
  if (now < reads_next_at_)
    co_return;
  reads_next_at_ = now + read_interval;
  const bool answered = co_await context_.read_targets();
  if (answered)
    read_at_ = now;
}

void departure_checker::record_end(const gateway::target_start& process,
                                   support::clock::time_point ended_at) {
  while (!ends_.empty() && context_.time.now() - ends_.front().first > end_memory)
    ends_.pop_front();
  ends_.emplace_back(ended_at, process);
}

bool departure_checker::has_ended_alone(const gateway::target_start& process,
                                        support::clock::time_point ended_at) const {
  const auto is_near = [&](const auto& each) {
    return each.second == process && each.first >= ended_at - common_end_window &&
           each.first <= ended_at + common_end_window;
  };
  return std::count_if(ends_.begin(), ends_.end(), is_near) == 1;
}

bool departure_checker::has_had_time_to_stop_listening(const gateway::target_entry& target,
                                                       support::clock::time_point ended_at) const {
  const auto known = context_.registry.find_departure(target.id, target.started_at_ms);
  return known && ended_at - known->since >= timing_.accepts_for;
}

} // namespace camphorlug::edge
