#pragma once

#include "camphorlug/edge/assisted_prober.h"
#include "camphorlug/edge/departure_checker.h"
#include "camphorlug/gateway/crash_record.h"
#include "camphorlug/gateway/target_liveness.h"
#include "camphorlug/support/notification.h"

#include <asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <vector>

namespace camphorlug::edge {

/// Asks targets whether they still run. Callers that wait for the same target share a question, so
/// that the end of many responses at once costs two questions at most.
class liveness_checker final : public gateway::target_liveness {
public:
  liveness_checker(asio::any_io_executor executor, support::clock& time, assisted_prober& prober,
                   departure_checker& departures)
      : executor_(std::move(executor)), time_(time), prober_(prober), departures_(departures) {}

  support::task<bool> is_running(gateway::target_entry target,
                                 std::chrono::nanoseconds timeout) override;

private:
  struct waiter {
    explicit waiter(support::clock& time) : answered(time) {}
    support::notification answered;
    replicas::process_state state = replicas::process_state::ended;
  };
  using waiter_list = std::vector<std::shared_ptr<waiter>>;
  /// The process and the epoch of its group; 0 outside groups.
  using question = std::pair<gateway::target_start, std::uint64_t>;

  static question question_about(const gateway::target_entry& target);

  /// Asks until nobody waits for an answer about the target.
  support::task<> answer_waiters(gateway::target_entry target);

  asio::any_io_executor executor_;
  support::clock& time_;
  assisted_prober& prober_;
  departure_checker& departures_;
  /// Those that came after the question in progress, by target. A target has an entry while it is
  /// being asked.
  std::map<question, waiter_list> waiting_;
};

} // namespace camphorlug::edge
