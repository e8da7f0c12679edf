#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace camphorlug::admission {

/// Times at which callers of refused requests were told to retry. A retry that
/// arrives at its reserved time has precedence over new requests, so that a
/// caller who obeys Retry-After is admitted.
class retry_reservations {
public:
  /// Reserves the next free time of an organisation whose requests are served at
  /// `rate` per second. Returns how long the caller has to wait.
  std::chrono::seconds reserve(const std::string& organisation, std::uint64_t fingerprint,
                               double rate, double jitter, support::clock::time_point now);

  /// Returns whether `fingerprint` has a reservation that is due, and removes it
  /// if so.
  bool consume_if_due(std::uint64_t fingerprint, support::clock::time_point now);

  /// Number of reservations of an organisation that are overdue or fall due
  /// within `span`.
  std::size_t due_within(const std::string& organisation, std::chrono::nanoseconds span,
                         support::clock::time_point now) const;

private:
  struct reservation {
    std::string organisation;
    support::clock::time_point due;
  };

  /// Reservations of one organisation, counted per second in which they fall due.
  struct schedule {
    /// Earliest time that is not reserved yet.
    support::clock::time_point next_free;
    std::map<std::chrono::seconds, std::size_t> due_counts;
  };

  void drop_expired(support::clock::time_point now);
  void remove(std::uint64_t fingerprint);

  std::unordered_map<std::uint64_t, reservation> reservations_;
  std::multimap<support::clock::time_point, std::uint64_t> by_due_time_;
  std::map<std::string, schedule> schedules_;
};

} // namespace camphorlug::admission
