#pragma once

#include "camphorlug/gateway/load_board.h"
#include "camphorlug/gateway/queue_rank.h"
#include "camphorlug/gateway/slot_guard.h"
#include "camphorlug/gateway/target_chooser.h"
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
class slot_queue {
public:
  /// One request that wants a slot.
  struct slot_request {
    target_pool pool;
    queue_rank rank;
    std::set<std::string> avoided;
    /// Set to end the wait without a slot.
    const bool* is_cancelled = nullptr;
  };

  slot_queue(support::clock& time, target_chooser& chooser, load_board& loads)
      : time_(time), chooser_(chooser), loads_(loads) {}

  /// A slot, or nothing at `until`.
  support::task<std::optional<slot_guard>> acquire(slot_request wish,
                                                   support::clock::time_point until);

  /// Gives free slots to those that wait. Call it when targets or loads changed.
  void assign_free_slots();

  /// Time until a request that comes now would get a slot; zero when one is free.
  std::chrono::nanoseconds expected_wait(const target_pool& pool, const queue_rank& rank);

  /// Learns how long a slot of the pool was held.
  void update_hold_estimate(const target_pool& pool, std::chrono::nanoseconds held);

  /// Whether a request of the pool would find a sound target other than `avoided`.
  bool has_alternative(const target_pool& pool, const std::set<std::string>& avoided) {
    return chooser_.has_healthy_slot(pool, avoided);
  }
  /// Slots of all targets of the pool that may get requests.
  std::size_t slots(const target_pool& pool) { return chooser_.slots(pool); }
  std::size_t waiting() const;

private:
  struct waiter;
  using queue = std::multimap<queue_rank, waiter*>;

  /// An applicant in its line; leaves it on destruction, also when the wait ends by an exception.
  struct waiter {
    waiter(support::clock& time, queue& waiting, slot_request wanted);
    ~waiter() { line.erase(place); }
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;

    slot_request wish;
    support::notification called;
    std::optional<chosen_target> given;
    queue& line;
    queue::iterator place;
  };

  slot_guard hold(chosen_target target);
  void assign_free_slots(queue& line);

  support::clock& time_;
  target_chooser& chooser_;
  load_board& loads_;
  std::map<target_pool, queue> queues_;
  std::map<target_pool, std::chrono::duration<double>> mean_hold_;
};

} // namespace camphorlug::gateway
