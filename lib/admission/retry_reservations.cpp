#include "camphorlug/admission/retry_reservations.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::admission {

/// How late a retry may arrive.
static constexpr std::chrono::seconds late_tolerance{3};
/// How early a retry may arrive: the caller's timer may run slightly fast
/// relative to this node's.
static constexpr std::chrono::milliseconds early_tolerance{100};
static constexpr std::chrono::seconds min_wait{1};
static constexpr std::chrono::seconds max_wait{120};
static constexpr std::size_t max_reservations = 100'000;

static std::chrono::seconds second_of(support::clock::time_point moment) {
  return std::chrono::floor<std::chrono::seconds>(moment.time_since_epoch());
}

std::chrono::seconds retry_reservations::reserve(const std::string& organisation,
                                                 std::uint64_t fingerprint, double rate,
                                                 double jitter, support::clock::time_point now) {
  drop_expired(now);
  remove(fingerprint);
  schedule& organisation_schedule = schedules_[organisation];
  organisation_schedule.next_free = std::max(organisation_schedule.next_free, now + min_wait);
  const std::chrono::duration<double> wanted = organisation_schedule.next_free - now;
  // Retry-After has whole seconds.
  const std::chrono::seconds rounded(std::llround(std::ceil(wanted.count() + jitter)));
  const auto wait = std::clamp(rounded, min_wait, max_wait);
  organisation_schedule.next_free += std::chrono::nanoseconds(std::llround(1e9 / rate));
  organisation_schedule.next_free = std::min(organisation_schedule.next_free, now + max_wait);
  if (reservations_.size() >= max_reservations)
    return wait;
  const auto due = now + wait;
  reservations_[fingerprint] = {organisation, due};
  by_due_time_.emplace(due, fingerprint);
  ++organisation_schedule.due_counts[second_of(due)];
  return wait;
}

void retry_reservations::remove(std::uint64_t fingerprint) {
  const auto found = reservations_.find(fingerprint);
  if (found == reservations_.end())
    return;
  auto& counts = schedules_[found->second.organisation].due_counts;
  const auto count = counts.find(second_of(found->second.due));
  if (count != counts.end() && --count->second == 0)
    counts.erase(count);
  auto [entry, end] = by_due_time_.equal_range(found->second.due);
  while (entry != end && entry->second != fingerprint)
    ++entry;
  if (entry != end)
    by_due_time_.erase(entry);
  reservations_.erase(found);
}

bool retry_reservations::consume_if_due(std::uint64_t fingerprint, support::clock::time_point now) {
  drop_expired(now);
  const auto found = reservations_.find(fingerprint);
  if (found == reservations_.end() || now + early_tolerance < found->second.due)
    return false;
  remove(fingerprint);
  return true;
}

std::size_t retry_reservations::due_within(const std::string& organisation,
                                           std::chrono::nanoseconds span,
                                           support::clock::time_point now) const {
  const auto found = schedules_.find(organisation);
  if (found == schedules_.end())
    return 0;
  std::size_t count = 0;
  const auto last = second_of(now + span);
  for (const auto& [second, due_count] : found->second.due_counts) {
    if (second > last)
      break;
    count += due_count;
  }
  return count;
}

void retry_reservations::drop_expired(support::clock::time_point now) {
  while (!by_due_time_.empty() && by_due_time_.begin()->first + late_tolerance < now)
    remove(by_due_time_.begin()->second);
}

} // namespace camphorlug::admission
