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
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::scheduling {

/// Asks the node that schedules a pool for slots. While it does not answer, this node chooses
/// targets by itself, and the scheduler learns of that from the reports of held slots. One failed
/// message does not mean that: a message is repeated on another connection, and what waits at a
/// silent scheduler ends its wait at once.
class scheduler_client final : public gateway::slot_scheduler {
public:
  /// Slots are given back together if several become free within this time.
  static constexpr std::chrono::milliseconds release_delay{10};
  /// Interval at which the held slots are reported, so that those are known of which a message was
  /// lost.
  static constexpr std::chrono::milliseconds report_interval{600};
  /// A scheduler that did not answer is not asked until it answers a report. This is the pause
  /// before the next one.
  static constexpr std::chrono::milliseconds suspension{100};
  static constexpr int max_attempts = 5;
  /// A scheduler that has answered nothing meanwhile is silent after this many attempts.
  static constexpr int attempts_until_silent = 3;
  /// Assigned targets that this node cannot use before it chooses by itself.
  static constexpr int max_unknown_targets = 4;

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
  /// What is known of a scheduler.
  struct peer_state {
    support::clock::time_point heard_at;
    /// Earliest next report to a silent scheduler.
    std::optional<support::clock::time_point> suspended_until;
    bool is_probed = false;
    /// Whether it begins its answer while the ask waits, so that a lost message shows early.
    bool begins_early = false;
  };
  /// A message whose answer has not arrived. Registered while it exists.
  struct open_exchange {
    open_exchange(std::set<open_exchange*>& registry, std::string peer, const bool* cancelled_flag,
                  net::http_exchange& sent);
    ~open_exchange() { all.erase(this); }
    open_exchange(const open_exchange&) = delete;
    open_exchange& operator=(const open_exchange&) = delete;

    std::set<open_exchange*>& all;
    std::string address;
    const bool* cancelled;
    net::http_exchange& exchange;
    /// The answer is of no use any more.
    bool is_given_up = false;
  };
  struct attempt_result {
    std::optional<net::client_response> response;
    std::string failure;
    bool is_given_up = false;
    /// The connection failed, or no answer began in time.
    bool may_be_repeated = false;
    /// This node stood still meanwhile, so that the failure says nothing about the scheduler.
    bool was_suspended = false;
  };

  gateway::target_loads held(const gateway::target_pool& pool);
  scheduler_message make_message(const gateway::target_pool& pool, const std::string& address);
  /// Returns an unavailable slot if the scheduler does not answer in time.
  support::task<gateway::scheduled_slot> exchange(scheduler_message message, std::string address,
                                                  std::chrono::nanoseconds timeout,
                                                  const bool* cancelled);
  support::task<gateway::scheduled_slot> ask(const gateway::slot_request& request,
                                             support::clock::time_point until);
  support::task<gateway::scheduled_slot> ask_local(scheduler_message message,
                                                   const bool* cancelled);
  support::task<attempt_result> attempt(net::client_request request,
                                        support::clock::time_point until, const bool* cancelled);
  /// Throws nlohmann::json::exception if the response is not valid.
  gateway::scheduled_slot read_answer(const gateway::target_pool& pool, const std::string& address,
                                      const net::client_response& response);
  /// The scheduler may have missed what the last messages said.
  void report_again(const gateway::target_pool& pool) { pools_[pool].reported_to.clear(); }
  void suspend(const std::string& address, const std::string& failure);
  void give_up(open_exchange& each);
  void give_up_abandoned();
  support::task<> send_report(gateway::target_pool pool, std::string address);
  /// Sends a report to a silent scheduler.
  support::task<> probe(gateway::target_pool pool, std::string address);
  support::task<> flush_released(gateway::target_pool pool);

  context context_;
  std::map<gateway::target_pool, pool_state> pools_;
  /// By peer address.
  std::map<std::string, peer_state> peers_;
  std::set<open_exchange*> open_;
};

} // namespace camphorlug::scheduling
