#pragma once

#include "camphorlug/gateway/held_slot.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/gateway/waiting_rank.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/notification.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// Hands out the slots of targets and keeps requests waiting in order while
/// there are none.
class waiting_line {
public:
  /// One request that wants a slot.
  struct applicant {
    target_pool pool;
    waiting_rank rank;
    std::set<std::string> avoided;
    /// Set to end the wait without a slot.
    const bool* withdrawn = nullptr;
  };

  waiting_line(support::clock& time, target_chooser& chooser, load_tracker& loads)
      : time_(time), chooser_(chooser), loads_(loads) {}

  /// A slot, or nothing at `until`.
  support::task<std::optional<held_slot>> take(applicant wish, support::clock::time_point until);

  /// Gives free slots to those that wait. Call it when targets or loads changed.
  void pump();

  /// Time until a request that comes now would get a slot; zero when one is free.
  std::chrono::nanoseconds expected_wait(const target_pool& pool, const waiting_rank& rank);

  /// Learns how long a slot of the pool was held.
  void learn(const target_pool& pool, std::chrono::nanoseconds held);

  /// Whether a request of the pool would find a sound target other than `avoided`.
  bool has_room_beside(const target_pool& pool, const std::set<std::string>& avoided) {
    return chooser_.has_sound_room(pool, avoided);
  }
  /// Slots of all targets of the pool that may get requests.
  std::size_t slots(const target_pool& pool) { return chooser_.slots(pool); }
  std::size_t waiting() const;

private:
  struct waiter;
  using queue = std::multimap<waiting_rank, waiter*>;

  /// An applicant in its line; leaves it on destruction, also when the wait ends by an exception.
  struct waiter {
    waiter(support::clock& time, queue& waiting, applicant wanted);
    ~waiter() { line.erase(place); }
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;

    applicant wish;
    support::notification called;
    std::optional<chosen_target> given;
    queue& line;
    queue::iterator place;
  };

  held_slot hold(chosen_target target);
  void pump(queue& line);

  support::clock& time_;
  target_chooser& chooser_;
  load_tracker& loads_;
  std::map<target_pool, queue> queues_;
  std::map<target_pool, std::chrono::duration<double>> usual_hold_;
};

} // namespace camphorlug::gateway
