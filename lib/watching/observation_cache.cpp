#include "camphorlug/watching/observation_cache.h"

namespace camphorlug::watching {

static bool same_status(const targets::instance_report& left,
                        const targets::instance_report& right) {
  return left.incarnation == right.incarnation && left.group == right.group &&
         left.number == right.number && left.rank == right.rank && left.ready == right.ready &&
         left.leaving == right.leaving && left.version == right.version;
}

void observation_cache::record_report(targets::instance_report report,
                                      support::clock::time_point seen_at, std::string watcher) {
  observation& held = observations_[report.instance];
  const bool is_first = held.report.instance.empty();
  if (!is_first && seen_at <= held.seen_at)
    return;
  // A report that was requested before the absence was seen does not disprove it.
  const bool still_absent = held.absent && seen_at <= held.absent_at;
  if (is_first || !same_status(held.report, report) || held.absent != still_absent)
    ++generation_;
  held.report = std::move(report);
  held.seen_at = seen_at;
  held.watcher = std::move(watcher);
  held.absent = still_absent;
}

void observation_cache::record_absence(const std::string& instance,
                                       support::clock::time_point seen_at, std::string watcher) {
  const auto found = observations_.find(instance);
  if (found == observations_.end())
    return;
  observation& held = found->second;
  if (seen_at <= held.seen_at)
    return;
  if (!held.absent)
    ++generation_;
  held.absent = true;
  held.absent_at = std::max(held.absent_at, seen_at);
  held.watcher = std::move(watcher);
}

const observation* observation_cache::find(std::string_view instance) const {
  const auto found = observations_.find(std::string(instance));
  return found == observations_.end() ? nullptr : &found->second;
}

} // namespace camphorlug::watching
