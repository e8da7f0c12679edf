#pragma once

#include "camphorlug/admission/admission_queue.h"
#include "camphorlug/admission/drain_rate.h"
#include "camphorlug/admission/retry_reservations.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/notification.h"
#include "camphorlug/support/random_source.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphorlug::admission {

/// Two-level weighted fair queueing (start-time fair queueing): classes by weight
/// and, within a class, organisations by weight. Both levels order by the virtual
/// time of the work done, so no queue starves and unused shares go to the other
/// queues.
class fair_queue final : public admission_queue {
public:
  /// `free_slots` returns how many more requests the targets can take.
  fair_queue(support::clock& time, support::random_source& random,
             std::function<std::size_t()> free_slots);

  void configure(const documents::service_document& document) override;
  support::task<admission_result> enter(admission_request request) override;
  void finish(const admission_request& request, double actual_cost) override;
  void dispatch_waiting() override;
  std::size_t waiting() const override { return waiting_; }

private:
  /// A waiting request.
  struct waiter {
    admission_request request;
    support::notification decided;
    bool granted = false;
    bool evicted_by_arrival = false;
  };

  /// Waiting requests of one organisation within a class.
  struct organisation_queue {
    std::string organisation;
    double weight = 1;
    /// Virtual time at which the work charged to the organisation so far ends.
    double virtual_finish = 0;
    std::deque<std::shared_ptr<waiter>> waiters;
  };

  struct class_queue {
    double weight = 1;
    double virtual_finish = 0;
    /// Virtual time of the scheduler within the class.
    double virtual_time = 0;
    std::size_t waiting = 0;
    std::map<std::string, organisation_queue> organisations;
  };

  organisation_queue& queue_of(const admission_request& request);
  bool is_below_in_flight_limit(const organisation_queue& queue) const;
  void record_start(const admission_request& request);
  double capacity_share_of(const admission_request& request) const;
  bool evict_for(const admission_request& arrival);
  admission_result refuse(const admission_request& request, std::string reason);
  std::shared_ptr<waiter> select_next();
  void remove(const std::shared_ptr<waiter>& leaving);

  support::clock& time_;
  support::random_source& random_;
  std::function<std::size_t()> free_slots_;
  std::map<std::string, class_queue> classes_;
  std::map<std::string, std::size_t> in_flight_;
  std::map<std::string, std::size_t> in_flight_limits_;
  std::map<std::string, double> organisation_weights_;
  drain_rate drain_rate_;
  retry_reservations reservations_;
  std::size_t queue_limit_ = 500;
  std::size_t waiting_ = 0;
  /// Granted requests whose coroutines have not resumed yet and therefore do not
  /// occupy a target slot.
  std::size_t granted_not_started_ = 0;
  double class_virtual_time_ = 0;
};

} // namespace camphorlug::admission
