#pragma once

#include "camphorlug/gateway/event_splitter.h"
#include "camphorlug/gateway/gateway_environment.h"
#include "camphorlug/net/response_writer.h"
#include "camphorlug/net/transport_error.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>

namespace camphorlug::gateway {

/// Forwards one admitted request to targets, retrying where that is allowed, and sends the caller
/// exactly one response.
class request_forwarder {
public:
  request_forwarder(gateway_environment& environment, net::response_writer& writer,
                    caller_request request, std::shared_ptr<const route> chosen,
                    std::string organisation, int priority, bool closes_connection);

  support::task<> run();

  /// Logs the request's state when the process ends before the request does.
  void log_unfinished() const;

private:
  /// Result of sending the request to one target.
  enum class attempt_result {
    /// The caller has received its final response.
    answered,
    /// The target did not execute the request.
    not_run,
    /// The target may have executed the request, but sent no complete response.
    unknown,
    /// The target executed the request and returned an error that may be forwarded.
    failed,
  };

  support::task<attempt_result> send_to(const chosen_target& target);
  support::task<attempt_result> relay_complete_response(net::http_exchange& exchange,
                                                        target_response response,
                                                        const chosen_target& target);
  support::task<attempt_result> relay_stream(net::http_exchange& exchange, target_response response,
                                             const chosen_target& target);
  template<class Read>
  auto await_response_part(Read read_part, std::string target_id, std::chrono::nanoseconds limit)
      -> std::invoke_result_t<Read, std::chrono::nanoseconds>;
  bool keeps_waiting_after_timeout(const std::string& target_id, const net::transport_error& error,
                                   support::clock::time_point wait_started_at,
                                   std::chrono::nanoseconds limit);
  support::task<bool> forward_event(const target_response& response, raw_event event);
  std::optional<attempt_result> check_response_head(const target_response& response,
                                                    const chosen_target& target);

  support::task<std::optional<slot_guard>> wait_for_slot();
  support::clock::time_point slot_deadline() const;
  bool may_retry(attempt_result last);
  /// Records why no further target is tried. Returns false.
  bool give_up(std::string_view reason);
  void send_refusal(std::string reason, std::chrono::nanoseconds expected_wait);
  void finish_failed_request(attempt_result last);
  void send_local_response(int status, std::string_view reason,
                           std::optional<std::chrono::milliseconds> retry_after);
  void send_target_failure();
  void record_outcome(std::string outcome, std::string detail);
  net::header_list with_connection_header(net::header_list headers) const;

  std::chrono::nanoseconds remaining_time() const { return deadline_ - env_.time.now(); }
  std::chrono::nanoseconds first_event_limit() const;
  std::chrono::nanoseconds pause_limit() const;
  const target_pool& pool() const { return pool_; }

  gateway_environment& env_;
  net::response_writer& writer_;
  caller_request request_;
  std::shared_ptr<const route> route_;
  std::string organisation_;
  int priority_;
  bool closes_connection_;
  std::string service_;
  target_pool pool_;
  support::clock::time_point arrived_at_;
  support::clock::time_point deadline_;
  std::optional<support::clock::time_point> first_byte_at_;

  bool caller_gone_ = false;
  net::http_exchange* current_exchange_ = nullptr;
  stall_detector::stream* monitored_stream_ = nullptr;
  std::set<std::string> tried_targets_;
  std::size_t attempts_ = 0;
  bool may_have_executed_ = false;
  std::optional<std::uint64_t> last_event_id_;
  std::size_t events_sent_ = 0;
  /// Latest error response from a target, forwarded when the last attempt failed and no other
  /// target succeeded.
  std::optional<target_response> target_failure_;
  std::string target_failure_body_;
  /// Tried targets and their faults, each as ` ID (REASON)`; parsed by diagnosis/sending_trail.
  std::string attempt_trail_;
  /// Why no further target was tried; empty while the request may still be answered.
  std::string give_up_reason_;
};

} // namespace camphorlug::gateway
