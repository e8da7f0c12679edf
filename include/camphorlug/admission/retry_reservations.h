#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace camphorlug::admission {

/// Times at which refused requests were told to come back. A request that
/// comes back in time has precedence over new ones, so that a caller who obeys
/// Retry-After gets in.
class retry_reservations {
public:
  /// Books the next free time of an organisation whose requests are served at
  /// `rate` a second, and returns how long to wait.
  std::chrono::seconds reserve(const std::string& organisation, std::uint64_t fingerprint,
                               double rate, double jitter, support::clock::time_point now);

  /// Whether `fingerprint` comes back in its time; the booking is then used up.
  bool consume_if_due(std::uint64_t fingerprint, support::clock::time_point now);

  /// Bookings of an organisation that are overdue or fall due within `span`.
  std::size_t due_within(const std::string& organisation, std::chrono::nanoseconds span,
                         support::clock::time_point now) const;

private:
  struct reservation {
    std::string organisation;
    support::clock::time_point due;
  };

  /// Bookings by the second in which they fall due.
  struct schedule {
    support::clock::time_point next;
    std::map<std::chrono::seconds, std::size_t> due;
  };

  void drop_expired(support::clock::time_point now);
  void remove(std::uint64_t fingerprint);

  std::unordered_map<std::uint64_t, reservation> reservations_;
  std::multimap<support::clock::time_point, std::uint64_t> by_due_time_;
  std::map<std::string, schedule> schedules_;
};

} // namespace camphorlug::admission
