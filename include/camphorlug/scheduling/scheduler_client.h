#pragma once

#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/slot_scheduler.h"
#include "camphorlug/gateway/target_chooser.h"
#include "camphorlug/net/http_client.h"
#include "camphorlug/scheduling/scheduler_assignment.h"
#include "camphorlug/scheduling/scheduler_service.h"
#include "camphorlug/support/clock.h"

#include <asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// Asks the node that schedules a pool for slots. While it does not answer, this node chooses
/// targets by itself, and the scheduler learns of that from the reports of held slots.
class scheduler_client final : public gateway::slot_scheduler {
public:
  /// Slots are given back together if several become free within this time.
  static constexpr std::chrono::milliseconds release_delay{10};
  /// Interval at which the held slots are reported, so that those are known of which a message was
  /// lost.
  static constexpr std::chrono::milliseconds report_interval{600};
  /// A scheduler that did not answer is not asked for this long.
  static constexpr std::chrono::milliseconds suspension{1000};

  /// External dependencies. Every referenced object must outlive the client.
  struct context {
    asio::any_io_executor executor;
    support::clock& time;
    net::http_client& client;
    gateway::target_chooser& chooser;
    gateway::load_tracker& loads;
    const scheduler_assignment& assignment;
    scheduler_service& local;
    std::string self;
    std::string data_centre;
  };

  explicit scheduler_client(context dependencies) : context_(std::move(dependencies)) {}

  bool schedules(const gateway::target_pool& pool) override;
  support::task<gateway::scheduled_slot> acquire(gateway::slot_request request,
                                                 support::clock::time_point until) override;
  void release(const gateway::target_pool& pool, const std::string& target) override;

  /// Reports held slots to schedulers that are new or have not had a report for a while. Call it
  /// several times a second.
  void update();

private:
  struct pool_state {
    /// Peer address of the scheduler that knows this node's slots.
    std::string reported_to;
    support::clock::time_point reported_at;
    std::vector<std::string> released;
    bool flushing = false;
    std::uint64_t last_sequence = 0;
  };

  gateway::target_loads held(const gateway::target_pool& pool);
  scheduler_message make_message(const gateway::target_pool& pool, const std::string& address);
  /// Returns an unavailable slot if the scheduler does not answer in time.
  support::task<gateway::scheduled_slot> exchange(scheduler_message message, std::string address,
                                                  std::chrono::nanoseconds timeout,
                                                  const bool* cancelled);
  support::task<> send_report(gateway::target_pool pool, std::string address);
  support::task<> flush_released(gateway::target_pool pool);

  context context_;
  std::map<gateway::target_pool, pool_state> pools_;
  /// Until when a scheduler is not asked, by peer address.
  std::map<std::string, support::clock::time_point> suspended_until_;
};

} // namespace camphorlug::scheduling
