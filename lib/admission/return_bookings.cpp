#include "camphorlug/admission/return_bookings.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::admission {

/// How late a caller may come back.
static constexpr std::chrono::seconds grace{10};
/// Callers round Retry-After to whole seconds.
static constexpr std::chrono::seconds shortest_wait{1};
static constexpr std::chrono::seconds longest_wait{120};
static constexpr std::size_t most_bookings = 100'000;

std::chrono::seconds return_bookings::book(const std::string& organisation,
                                           std::uint64_t fingerprint, double rate, double jitter,
                                           support::clock::time_point now) {
  drop_expired(now);
  support::clock::time_point& next = next_due_[organisation];
  next = std::max(next, now + shortest_wait);
  const std::chrono::duration<double> wanted = next - now;
  const auto wait =
      std::clamp(std::chrono::seconds(std::llround(std::ceil(wanted.count() + jitter))),
                 shortest_wait, longest_wait);
  next += std::chrono::nanoseconds(std::llround(1e9 / rate));
  next = std::min(next, now + longest_wait);
  if (bookings_.size() < most_bookings)
    bookings_[fingerprint] = {organisation, now + wait};
  return wait;
}

bool return_bookings::redeem(std::uint64_t fingerprint, support::clock::time_point now) {
  const auto found = bookings_.find(fingerprint);
  if (found == bookings_.end())
    return false;
  // A caller's timer may run a little fast against this node's.
  static constexpr std::chrono::milliseconds early{100};
  if (now + early < found->second.due)
    return false;
  bookings_.erase(found);
  return true;
}

std::size_t return_bookings::due_within(const std::string& organisation,
                                        std::chrono::nanoseconds span,
                                        support::clock::time_point now) const {
  return std::count_if(bookings_.begin(), bookings_.end(), [&](const auto& each) {
    return each.second.organisation == organisation && each.second.due >= now - grace &&
           each.second.due <= now + span;
  });
}

void return_bookings::drop_expired(support::clock::time_point now) {
  std::erase_if(bookings_, [now](const auto& each) { return each.second.due + grace < now; });
}

} // namespace camphorlug::admission
