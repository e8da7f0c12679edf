#pragma once

#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/slot_guard.h"
#include "camphorlug/gateway/slot_request.h"
#include "camphorlug/gateway/slot_scheduler.h"
#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/gateway/target_limits.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/notification.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// Assigns slots of targets to requests, and queues requests in rank order while no slot is free.
/// For the pools that a scheduler serves, it passes the requests on to that.
class slot_queue {
public:
  using slot_request = gateway::slot_request;

  /// Result of a wait for a slot.
  struct slot_result {
    std::optional<slot_guard> slot;
    /// When a later request is expected to get a slot, if a scheduler refused this one.
    std::optional<std::chrono::nanoseconds> retry_after;

    explicit operator bool() const { return slot.has_value(); }
  };

  slot_queue(support::clock& time, target_chooser& chooser, load_tracker& loads,
             target_limits& limits)
      : time_(time), chooser_(chooser), loads_(loads), limits_(limits) {}

  /// Sets the scheduler that assigns slots in place of this queue, for the pools that it schedules.
  void set_scheduler(slot_scheduler* scheduler) { scheduler_ = scheduler; }
  bool is_scheduled(const target_pool& pool) { return scheduler_ && scheduler_->schedules(pool); }

  /// Waits for a slot. Returns none if none is assigned by `until` or the request is cancelled.
  support::task<slot_result> acquire(slot_request request, support::clock::time_point until);

  /// Returns a slot if one is free and no request with a better rank waits for it.
  std::optional<slot_guard> try_acquire(const slot_request& request);

  /// Assigns free slots to waiting requests. Must be called after targets or loads change.
  void assign_free_slots();

  /// Estimates how long a request that arrives now waits for a slot; zero if one is free.
  std::chrono::nanoseconds expected_wait(const target_pool& pool, const queue_rank& rank);

  /// Updates the mean hold time of the pool with one more slot use.
  void update_hold_estimate(const target_pool& pool, std::chrono::nanoseconds held);

  /// Updates the mean time from a slot to the first part of a response.
  void update_first_part_estimate(const target_pool& pool, std::chrono::nanoseconds span);
  /// How long a request may wait for a slot and still meet `objective`.
  std::chrono::nanoseconds usable_wait(const target_pool& pool,
                                       std::chrono::nanoseconds objective) const;

  /// Mean hold time of the pool, if a slot of it has been used.
  std::optional<std::chrono::nanoseconds> mean_hold(const target_pool& pool) const;

  /// Whether an unsuspected target of the pool outside `avoided` has a free slot.
  bool has_alternative(const target_pool& pool, const std::set<std::string>& avoided) {
    return chooser_.has_unsuspected_slot(pool, avoided);
  }
  /// See target_chooser::paused_until. What a scheduler may assign does not pause.
  std::optional<support::clock::time_point> paused_until(const target_pool& pool,
                                                         const std::set<std::string>& avoided) {
    return is_scheduled(pool) ? chooser_.refused_until(pool, avoided)
                              : chooser_.paused_until(pool, avoided);
  }
  /// See target_chooser::withholds_cold.
  bool withholds_cold(const target_pool& pool, const std::set<std::string>& avoided) {
    return chooser_.withholds_cold(pool, avoided);
  }
  /// Whether a target whose slot was assigned earlier still accepts requests.
  bool accepts_requests(const chosen_target& chosen) const {
    return chooser_.accepts_requests(chosen);
  }
  /// Total slots of the targets of the pool that accept requests.
  std::size_t slots(const target_pool& pool) { return chooser_.slots(pool); }
  std::size_t waiting() const;
  /// Requests of this node that wait for a slot of the pool, without those that a scheduler queues.
  std::size_t waiting(const target_pool& pool) const;
  /// See target_chooser::free_share; 0 while a data centre is evacuated, since the others then need
  /// their slots.
  double spare_share(const target_pool& pool) {
    return chooser_.is_any_data_centre_evacuated() ? 0 : chooser_.free_share(pool);
  }
  /// See target_chooser::cold_ids.
  std::set<std::string> cold_ids(const target_pool& pool) { return chooser_.cold_ids(pool); }

private:
  struct waiter;
  using queue = std::multimap<queue_rank, waiter*>;

  /// A queued request. The destructor removes it from its queue and gives back an assigned slot
  /// that was not taken, also when the wait ends with an exception.
  struct waiter {
    waiter(slot_queue& queue_of_all, queue& waiting, slot_request new_request);
    ~waiter();
    /// Whether a slot was assigned whose target still accepts requests. Gives back any other.
    bool has_usable_slot();
    waiter(const waiter&) = delete;
    waiter& operator=(const waiter&) = delete;

    slot_queue& owner;
    slot_request request;
    support::notification wake_up;
    std::optional<chosen_target> assigned_target;
    queue& waiters;
    queue::iterator position;
  };

  /// Chooses a target and counts the request that will be sent to it.
  std::optional<chosen_target> take_slot(const slot_request& request);
  slot_guard make_guard(chosen_target target);
  /// Asks the scheduler. Returns nothing if this node has to decide by itself.
  support::task<std::optional<slot_result>> acquire_scheduled(slot_request request,
                                                              support::clock::time_point until);
  void assign_free_slots(queue& waiters);

  support::clock& time_;
  target_chooser& chooser_;
  load_tracker& loads_;
  target_limits& limits_;
  slot_scheduler* scheduler_ = nullptr;
  std::map<target_pool, queue> queues_;
  std::map<target_pool, std::chrono::duration<double>> mean_hold_;
  std::map<target_pool, std::chrono::duration<double>> mean_first_part_;
};

} // namespace camphorlug::gateway
