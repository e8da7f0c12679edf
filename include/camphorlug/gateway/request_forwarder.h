#pragma once

#include "camphorlug/gateway/gateway_environment.h"
#include "camphorlug/gateway/target_attempt.h"
#include "camphorlug/net/response_writer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::gateway {

/// Forwards one admitted request to targets, retrying where that is allowed, and sends the caller
/// exactly one response.
///
/// A repeatable request whose targets are all silent is sent to a further one while the earlier
/// attempts stay open. The attempt that goes on first is forwarded, and the others are closed. So a
/// sound target that pauses costs nothing, and the loss of a target costs no more time than its
/// detection.
class request_forwarder {
public:
  request_forwarder(gateway_environment& environment, net::response_writer& writer,
                    caller_request request, std::shared_ptr<const route> chosen,
                    std::string organisation, int priority,
                    std::function<bool()> closes_connection);

  /// Closes the attempts that are still open, because they refer to the forwarder.
  ~request_forwarder();
  request_forwarder(const request_forwarder&) = delete;
  request_forwarder& operator=(const request_forwarder&) = delete;

  support::task<> run();

  /// Called when the process is about to end: logs the request's state, and sends a response if the
  /// caller has no part of one yet. The caller then knows at once whether the request may have run,
  /// and does not take the end of its connection for the loss of the request.
  void end_before_exit(std::chrono::nanoseconds since_shutdown);

private:
  /// An attempt that may still provide the response.
  struct open_attempt {
    std::shared_ptr<target_attempt> attempt;
    /// Its part of the log field `targets`.
    std::size_t trail_index;
    /// Its silence made the request go to a further target.
    bool was_silent = false;
  };

  support::task<bool> start_first_open_attempt(const asio::any_io_executor& executor);
  void start_attempt(slot_guard slot, const asio::any_io_executor& executor);
  void seek_replacement(const asio::any_io_executor& executor);
  /// Sends the request to a second target if the first one is slow and the policy permits it.
  void seek_second_try(const asio::any_io_executor& executor);
  std::optional<std::chrono::nanoseconds> usual_time() const;
  /// The maximum if no second try is possible.
  std::chrono::nanoseconds time_until_second_try() const;
  /// Counts what became of a silence or of a second try.
  void count_kept_attempt(const target_attempt& kept);
  void record_first_part(const target_attempt& kept);
  std::chrono::nanoseconds time_until_check() const;
  /// Whether the attempt has provided a part of the response that is not forwarded yet.
  static bool is_ready(const open_attempt& each);
  support::task<bool> forward_ready_parts();
  support::task<bool> forward_events(target_attempt& attempt);
  support::task<> finish_answered_request(target_attempt& attempt);
  void close_other_attempts(const target_attempt& kept);
  void drop_failed_attempts();
  void end_attempt(const open_attempt& ended);
  void note(const open_attempt& each, std::string_view text);

  support::task<slot_queue::slot_result> wait_for_slot();
  /// Waits for a slot, and until the request may be sent if it is suspected.
  support::task<slot_queue::slot_result> wait_for_permitted_slot();
  /// Whether crashes accuse the request as a whole.
  bool is_suspected() const { return env_.crash_causes.crashes_under(identity()) > 0; }
  const std::string& identity() const { return shared_->crash_suspects.back(); }
  /// Reports what became of the request if it was sent with a permit that others wait for.
  void report_trial(trial_step step);
  /// Reports the trial when its stream has gone on for long enough.
  void check_trial();
  /// The wait that a refusal reports.
  void count_cold_wait(bool has_slot, std::chrono::nanoseconds waited);
  std::chrono::nanoseconds wait_after_refusal();
  support::clock::time_point slot_deadline();
  bool may_retry(attempt_result last);
  /// Attempts that count for the limit of the route.
  std::size_t sent_attempts() const;
  /// Whether the route allows another attempt and the time suffices for it.
  bool has_attempts_left() const;
  /// Records why no further target is tried. Returns false.
  bool give_up(std::string_view reason);
  /// The id of the part of the prompt that crashes targets, or of the request if it does so itself.
  std::optional<std::string> banned_cause() const {
    return env_.crash_causes.find_banned(service_, shared_->crash_suspects);
  }
  void reject_banned_request();
  void send_refusal(std::string reason, std::chrono::nanoseconds expected_wait);
  void finish_failed_request(attempt_result last);
  void send_local_response(int status, std::string_view reason,
                           std::optional<std::chrono::milliseconds> retry_after);
  void send_target_failure();
  void record_outcome(std::string outcome, std::string detail);
  net::header_list with_connection_header(net::header_list headers) const;
  std::string attempt_trail() const;
  /// What the request waits for, for the log.
  const char* state() const;

  std::chrono::nanoseconds remaining_time() const { return shared_->deadline - env_.time.now(); }
  const target_pool& pool() const { return pool_; }
  slot_request make_slot_request() const;
  /// The targets that were tried and have not started again since.
  std::set<std::string> tried_targets() const;
  /// The slot time of a group that reading the prompt takes; 0 if unknown.
  std::chrono::nanoseconds reading_slot_time() const;
  queue_rank rank() const { return {priority_, arrived_at_ + route_->objective}; }

  gateway_environment& env_;
  net::response_writer& writer_;
  std::shared_ptr<const attempted_request> shared_;
  std::shared_ptr<const route> route_;
  int priority_;
  /// Whether responses that are sent now should close their connection.
  std::function<bool()> closes_connection_;
  std::string service_;
  target_pool pool_;
  support::clock::time_point arrived_at_;
  response_class class_;
  /// How long the caller has waited before, in earlier attempts.
  std::chrono::nanoseconds time_since_first_attempt_{0};
  std::optional<support::clock::time_point> first_byte_at_;

  bool caller_gone_ = false;
  /// The response was sent because the process is about to end.
  bool ended_before_exit_ = false;
  /// Notified when an attempt goes on or ends, and when the caller disconnects.
  support::notification activity_;
  std::vector<open_attempt> open_;
  /// The targets that were tried, each with the start that was.
  std::map<std::string, std::int64_t> tried_starts_;
  std::size_t attempts_ = 0;
  /// Those of them that have ended without reaching a target.
  std::size_t unsent_attempts_ = 0;
  attempt_result last_result_ = attempt_result::not_run;
  bool may_have_executed_ = false;
  /// End of the events that the caller has.
  stream_position position_;
  /// Head of the response of a run that was resumed at `position_` and regularly ended without an
  /// event. Only a run that repeats the last event can tell whether the stream ends there.
  std::optional<target_response> doubtful_end_;
  /// Latest error response from a target, forwarded when the last attempt failed and no other
  /// target succeeded.
  std::optional<target_response> target_failure_;
  std::string target_failure_body_;
  /// Tried targets and what happened to them, each as `ID (REASON)...`; parsed by
  /// diagnosis/target_attempt.
  std::vector<std::string> trail_;
  /// When the scheduler expects to have a slot, if it refused the last wait.
  std::optional<std::chrono::nanoseconds> scheduled_retry_after_;
  /// When a second try was last considered.
  std::optional<support::clock::time_point> second_try_considered_at_;
  /// Place of the second try in `trail_`, if there is one.
  std::optional<std::size_t> second_try_;
  /// Time that the request has waited for slots.
  std::chrono::nanoseconds slot_wait_{0};
  /// Whether other equal requests wait for what becomes of this one.
  bool is_trial_ = false;
  /// When the target of the trial began to answer.
  std::optional<support::clock::time_point> trial_answered_at_;
  /// The request was given up because an equal one is being tried.
  bool waits_for_trial_ = false;
  /// See `target_attempt::describe_end`; empty unless a stream has ended regularly.
  std::string stream_end_;
  /// Why no further target was tried; empty while the request may still be answered.
  std::string give_up_reason_;
};

} // namespace camphorlug::gateway
