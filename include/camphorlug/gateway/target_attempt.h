#pragma once

#include "camphorlug/gateway/event_splitter.h"
#include "camphorlug/gateway/gateway_environment.h"
#include "camphorlug/net/http_exchange.h"
#include "camphorlug/net/transport_error.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// What all attempts of one request share.
struct attempted_request {
  caller_request request;
  std::shared_ptr<const route> chosen;
  std::string service;
  /// Empty when requests need no API key.
  std::string organisation;
  /// See `crash_suspects_of`.
  std::vector<std::string> crash_suspects;
  /// Time of the final response at the latest.
  support::clock::time_point deadline;
};

/// A place between two events of a stream.
struct stream_position {
  /// Id of the last event before this place, if any is known.
  std::optional<std::uint64_t> last_event_id;
  /// Number of events of the response before this place.
  std::size_t events = 0;

  bool is_followed_by(const raw_event& event) const {
    return event.id && (!last_event_id || *event.id == *last_event_id + 1);
  }
  void advance(const raw_event& event) {
    last_event_id = event.id;
    ++events;
  }
};

/// Where a target takes up a stream.
struct resume_point {
  /// End of the events that the caller has.
  stream_position position;
  /// The target repeats the last of these events, which is dropped. If no event follows it, the
  /// stream is known to end there; a run without any event shows nothing.
  bool repeats_last_event = false;

  /// The event after which the target begins; nothing for the whole stream.
  std::optional<std::uint64_t> last_event_id() const;
};

/// Result of sending a request to one target.
enum class attempt_result {
  /// The target has sent its complete response.
  answered,
  /// The target did not execute the request.
  not_run,
  /// The target may have executed the request, but sent no complete response.
  unknown,
  /// The target executed the request and returned an error that may be forwarded.
  failed,
};

/// Sends a request to one target and reads the response in a coroutine of its own, so that several
/// attempts of a request can wait for their targets at the same time. Events of a stream are
/// queued until the owner takes them; other responses are kept until they are complete.
class target_attempt : public std::enable_shared_from_this<target_attempt> {
public:
  /// The target resumes a stream at `begin`. `on_change` is called after each event and at
  /// the end, until the attempt is closed.
  target_attempt(gateway_environment& environment, std::shared_ptr<const attempted_request> shared,
                 slot_guard slot, resume_point begin, std::function<void()> on_change);
  target_attempt(const target_attempt&) = delete;
  target_attempt& operator=(const target_attempt&) = delete;

  /// Sends the request. The coroutine keeps the attempt alive until the exchange has ended.
  void start(const asio::any_io_executor& executor);

  /// Ends the exchange with the target. `on_change` is not called any more.
  void close();

  const std::string& target_id() const { return target_.id; }
  /// Time for which the attempt has used its slot.
  std::chrono::nanoseconds held() const {
    return ended_at_.value_or(env_.time.now()) - started_at_;
  }

  /// Head of the response; valid from the first event on, or with the result `answered` or
  /// `failed`.
  const target_response& response() const { return response_; }
  bool has_event() const { return !events_.empty(); }
  raw_event take_event();
  /// Whether it goes on with a stream, and did not begin it.
  bool resumes() const { return begin_.last_event_id().has_value(); }
  net::body_framing framing() const { return framing_; }
  /// For the log: the target, its status, how the end of its response is marked, and the event
  /// after which it resumed a stream.
  std::string describe_end() const;
  /// Whether the target has resumed a stream and regularly ended it without an event. The stream
  /// may have been at its end, or the target may be faulty.
  bool ended_without_event() const { return ended_without_event_; }
  /// Body of a complete response that is not a stream.
  std::string take_body() { return std::move(body_); }
  /// Nothing while more of the response may arrive.
  std::optional<attempt_result> result() const { return result_; }
  /// Whether the request has left this node. Valid with a result.
  bool was_sent() const { return was_sent_; }
  /// Why the attempt failed, as ` (REASON)` each; empty without a failure.
  const std::string& failure() const { return failure_; }

  /// Whether the target is silent: it has stopped writing to all its streams, or has sent nothing
  /// to this attempt for longer than is usual while it writes to no other stream either. A silent
  /// target may still go on.
  bool is_silent() const;
  /// Time at which the target counts as silent if nothing arrives before.
  support::clock::time_point silent_at() const;

private:
  static support::task<> run(std::shared_ptr<target_attempt> self);
  support::task<attempt_result> exchange_messages();
  /// Returns the result if the response is no answer to the request.
  std::optional<attempt_result> check_head();
  support::task<attempt_result> read_stream(net::http_exchange& exchange);
  support::task<attempt_result> read_body(net::http_exchange& exchange);
  /// Returns the result of a stream of which no more follows.
  support::task<attempt_result> finish_stream();
  /// Returns whether the target, and not the end of its process, has ended the response.
  support::task<bool> confirm_end();
  /// Counts a failure of the target and returns `result`. `note` is logged with the request.
  attempt_result fail(attempt_result result, const std::string& note, const std::string& reason);
  void count_transport_failure(const net::transport_error& error);
  net::client_request make_target_request();
  /// Whether the target still accepts requests; sets `withheld_` if not.
  bool may_send();
  void record_progress();
  void record_event();
  void record_answered_parts();
  void record_completion();
  void record_loss();
  support::task<bool> wait_until_queue_is_drained();
  /// Takes memory for the `held` bytes of the response, before more of it is read; the next read
  /// is part of what the request was given at its start. Returns false when the wait was too long.
  support::task<bool> wait_for_memory(std::size_t held);
  bool is_stream() const;
  std::chrono::nanoseconds remaining_time() const { return shared_->deadline - env_.time.now(); }

  gateway_environment& env_;
  std::shared_ptr<const attempted_request> shared_;
  std::optional<slot_guard> slot_;
  chosen_target target_;
  const resume_point begin_;
  /// End of the events received.
  stream_position position_;
  std::function<void()> on_change_;
  support::clock::time_point started_at_;
  std::optional<support::clock::time_point> ended_at_;
  support::clock::time_point last_progress_;
  /// Time from the start within which the first part of the response usually arrives.
  std::chrono::nanoseconds first_part_limit_;

  bool closed_ = false;
  bool was_sent_ = true;
  bool has_progressed_ = false;
  /// Set when the first event of a stream has arrived.
  std::optional<support::clock::time_point> first_event_at_;
  /// The target has answered for so long that no part of the prompt crashes it.
  bool has_survived_parts_ = false;
  bool target_stalled_ = false;
  bool ended_without_event_ = false;
  /// The request was not sent, because the target no longer accepts requests.
  bool withheld_ = false;
  net::http_exchange* exchange_ = nullptr;
  stall_detector::stream* monitored_ = nullptr;
  target_response response_;
  net::body_framing framing_ = net::body_framing::length;
  /// See `target_sender::exchange`.
  bool relay_confirms_end_ = true;
  std::deque<raw_event> events_;
  std::size_t queued_bytes_ = 0;
  support::notification queue_drained_;
  /// Nothing is read while the caller has too much still to take.
  bool is_reading_paused_ = false;
  /// The response has ended, and it is being found out whether it is complete. Another run would
  /// mostly find that nothing follows.
  bool is_confirming_end_ = false;
  std::string body_;
  /// What is held of the response.
  support::memory_budget::charge received_;
  /// Whether the next event is the one that `begin_` has the target repeat.
  bool repetition_due_;
  std::optional<attempt_result> result_;
  std::string failure_;
};

} // namespace camphorlug::gateway
