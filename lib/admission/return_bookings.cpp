#include "camphorlug/admission/return_bookings.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::admission {

/// How late a caller may come back.
static constexpr std::chrono::seconds grace{3};
/// How early: a caller's timer may run a little fast against this node's.
static constexpr std::chrono::milliseconds allowed_haste{100};
static constexpr std::chrono::seconds shortest_wait{1};
static constexpr std::chrono::seconds longest_wait{120};
static constexpr std::size_t most_bookings = 100'000;

static std::chrono::seconds second_of(support::clock::time_point moment) {
  return std::chrono::floor<std::chrono::seconds>(moment.time_since_epoch());
}

std::chrono::seconds return_bookings::book(const std::string& organisation,
                                           std::uint64_t fingerprint, double rate, double jitter,
                                           support::clock::time_point now) {
  drop_expired(now);
  remove(fingerprint);
  schedule& times = schedules_[organisation];
  times.next = std::max(times.next, now + shortest_wait);
  const std::chrono::duration<double> wanted = times.next - now;
  // Retry-After has whole seconds.
  const std::chrono::seconds rounded(std::llround(std::ceil(wanted.count() + jitter)));
  const auto wait = std::clamp(rounded, shortest_wait, longest_wait);
  times.next += std::chrono::nanoseconds(std::llround(1e9 / rate));
  times.next = std::min(times.next, now + longest_wait);
  if (bookings_.size() >= most_bookings)
    return wait;
  const auto due = now + wait;
  bookings_[fingerprint] = {organisation, due};
  by_due_.emplace(due, fingerprint);
  ++times.due[second_of(due)];
  return wait;
}

void return_bookings::remove(std::uint64_t fingerprint) {
  const auto found = bookings_.find(fingerprint);
  if (found == bookings_.end())
    return;
  auto& counts = schedules_[found->second.organisation].due;
  const auto count = counts.find(second_of(found->second.due));
  if (count != counts.end() && --count->second == 0)
    counts.erase(count);
  auto [entry, end] = by_due_.equal_range(found->second.due);
  while (entry != end && entry->second != fingerprint)
    ++entry;
  if (entry != end)
    by_due_.erase(entry);
  bookings_.erase(found);
}

bool return_bookings::redeem(std::uint64_t fingerprint, support::clock::time_point now) {
  drop_expired(now);
  const auto found = bookings_.find(fingerprint);
  if (found == bookings_.end() || now + allowed_haste < found->second.due)
    return false;
  remove(fingerprint);
  return true;
}

std::size_t return_bookings::due_within(const std::string& organisation,
                                        std::chrono::nanoseconds span,
                                        support::clock::time_point now) const {
  const auto found = schedules_.find(organisation);
  if (found == schedules_.end())
    return 0;
  std::size_t count = 0;
  const auto last = second_of(now + span);
  for (const auto& [second, due] : found->second.due) {
    if (second > last)
      break;
    count += due;
  }
  return count;
}

void return_bookings::drop_expired(support::clock::time_point now) {
  while (!by_due_.empty() && by_due_.begin()->first + grace < now)
    remove(by_due_.begin()->second);
}

} // namespace camphorlug::admission
