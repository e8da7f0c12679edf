#include "camphorlug/gateway/request_forwarder.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::gateway {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Fraction of the objective that a request may wait for a slot. The rest is
/// needed to produce the first part of the response.
static constexpr double slot_wait_fraction = 0.6;
/// A request is not sent to a target with less time than this before its deadline.
static constexpr milliseconds min_remaining_time{5};
/// A repeatable stream moves to another target when its first event takes longer
/// than this multiple of the objective.
static constexpr double first_event_limit_factor = 2.5;
static constexpr milliseconds min_first_event_limit{800};
/// The same limit between two events, as a multiple of the pause objective.
static constexpr double pause_limit_factor = 3;
static constexpr milliseconds min_pause_limit{600};
/// Fraction of the remaining time that an attempt of a repeatable, non-streaming request may use
/// while another attempt is allowed.
static constexpr double attempt_time_fraction = 0.4;
/// Interval at which an attempt that is late, but stays at its target, is reconsidered.
static constexpr milliseconds late_recheck_interval{200};
static constexpr milliseconds min_retry_after{100};
/// Callers accept a Retry-After of up to a third of their remaining time.
static constexpr double max_retry_after_fraction = 0.3;

static nanoseconds scaled(nanoseconds span, double factor) {
  return std::chrono::duration_cast<nanoseconds>(span * factor);
}

request_forwarder::request_forwarder(gateway_environment& environment, net::response_writer& writer,
                                     caller_request request, std::shared_ptr<const route> chosen,
                                     std::string organisation, int priority, bool closes_connection)
    : env_(environment), writer_(writer), request_(std::move(request)), route_(std::move(chosen)),
      organisation_(std::move(organisation)), priority_(priority),
      closes_connection_(closes_connection), arrived_at_(environment.time.now()) {
  const milliseconds time_limit = request_.time_limit.value_or(route_->timeout);
  deadline_ = arrived_at_ + std::min(time_limit, route_->timeout);
  last_event_id_ = request_.resume_after;
  double sum = 0;
  for (const weighted_service& each : route_->services)
    sum += each.weight;
  double pick = env_.random.uniform_real() * sum;
  for (const weighted_service& each : route_->services) {
    service_ = each.service;
    pick -= each.weight;
    if (pick < 0)
      break;
  }
  const bool in_groups = env_.config.current()->serves_in_groups(service_);
  pool_ = {service_, in_groups ? request_.model : ""};
}

nanoseconds request_forwarder::first_event_limit() const {
  return std::max<nanoseconds>(scaled(route_->objective, first_event_limit_factor),
                               min_first_event_limit);
}

nanoseconds request_forwarder::pause_limit() const {
  return std::max<nanoseconds>(scaled(route_->pause_objective, pause_limit_factor),
                               min_pause_limit);
}

support::task<> request_forwarder::run() {
  writer_.on_disconnect([this] {
    caller_gone_ = true;
    if (current_exchange_)
      current_exchange_->cancel();
  });
  env_.retries.count_request(service_);
  env_.demand.count_arrival(pool());
  auto last = attempt_result::not_run;
  while (!caller_gone_) {
    std::optional<slot_guard> slot = co_await wait_for_slot();
    if (caller_gone_)
      break;
    if (!slot) {
      give_up("no other target had a free slot in time");
      if (attempts_ > 0)
        finish_failed_request(last);
      else
        send_refusal("no free slot", env_.queue.expected_wait(pool(), {priority_, deadline_}));
      co_return;
    }
    const auto started_at = env_.time.now();
    last = co_await send_to(slot->target());
    env_.queue.update_hold_estimate(pool(), env_.time.now() - started_at);
    if (last == attempt_result::answered) {
      env_.demand.record_hold(pool(), env_.time.now() - started_at);
      co_return;
    }
    if (caller_gone_ || !may_retry(last))
      break;
  }
  if (caller_gone_)
    record_outcome("abandoned", "the caller closed its connection");
  else
    finish_failed_request(last);
}

support::clock::time_point request_forwarder::slot_deadline() const {
  // A stream that has already sent events waits for a new slot only as long as its caller
  // tolerates a pause.
  if (events_sent_ > 0)
    return std::min(deadline_, env_.time.now() + pause_limit());
  const auto wait = scaled(route_->objective, slot_wait_fraction);
  return std::min(deadline_ - min_remaining_time, env_.time.now() + wait);
}

support::task<std::optional<slot_guard>> request_forwarder::wait_for_slot() {
  const queue_rank rank{priority_, arrived_at_ + route_->objective};
  const auto until = slot_deadline();
  const auto expected = env_.queue.expected_wait(pool(), rank);
  // The first attempt fails at once if the expected wait exceeds the limit.
  if (env_.time.now() + expected > until && attempts_ == 0)
    co_return std::nullopt;
  slot_queue::slot_request request{pool(), rank, tried_targets_, &caller_gone_};
  co_return co_await env_.queue.acquire(std::move(request), until);
}

bool request_forwarder::may_retry(attempt_result last) {
  const bool repeatable = route_->repeatable() || last == attempt_result::not_run;
  if (!repeatable)
    return give_up("the request may not run again");
  if (attempts_ >= route_->attempts)
    return give_up("the route allows no further attempt");
  if (remaining_time() < min_remaining_time)
    return give_up("the time limit has passed");
  if (!env_.retries.try_acquire(service_)) {
    attempt_trail_ += " no-retries-left";
    return give_up("the retry limit is reached");
  }
  env_.metrics.count_retry(last == attempt_result::not_run  ? "not_run"
                           : last == attempt_result::failed ? "failed"
                                                            : "unknown");
  return true;
}

bool request_forwarder::give_up(std::string_view reason) {
  give_up_reason_ = reason;
  return false;
}

/// Decides whether a timed-out attempt stays at its target. It is abandoned only if a retry is
/// likely to be faster. Waiting is faster if the target still writes to other streams, if no other
/// target has a free slot, or if no retry is left. Under overload, each retry would also add load.
bool request_forwarder::keeps_waiting_after_timeout(const std::string& target_id,
                                                    const net::transport_error& error,
                                                    support::clock::time_point wait_started_at,
                                                    nanoseconds limit) {
  const bool waited = error.timed_out() && env_.time.now() - wait_started_at >= limit;
  if (!waited || caller_gone_ || remaining_time() < min_remaining_time)
    return false;
  return env_.stalls.is_writing(target_id) || !env_.retries.can_retry(service_) ||
         !env_.queue.has_alternative(pool(), tried_targets_);
}

/// Waits up to `limit` for the next part of a response, and keeps waiting while
/// `keeps_waiting_after_timeout` allows it.
template<class Read>
auto request_forwarder::await_response_part(Read read_part, std::string target_id,
                                            nanoseconds limit)
    -> std::invoke_result_t<Read, nanoseconds> {
  for (;;) {
    const auto wait_started_at = env_.time.now();
    try {
      co_return co_await read_part(limit);
    } catch (const net::transport_error& error) {
      if (!keeps_waiting_after_timeout(target_id, error, wait_started_at, limit))
        throw;
    }
    limit = std::min<nanoseconds>(remaining_time(), late_recheck_interval);
  }
}

support::task<request_forwarder::attempt_result>
request_forwarder::send_to(const chosen_target& target) {
  ++attempts_;
  tried_targets_.insert(target.id);
  attempt_trail_ += " " + target.id;
  send_attempt details;
  details.target_id = target.id;
  details.address = target.address;
  details.time_left = std::chrono::duration_cast<milliseconds>(remaining_time());
  details.organisation = organisation_;
  details.resume_after = last_event_id_;
  details.reuse_connection = route_->repeatable();
  net::client_request outgoing = env_.protocol.build_target_request(request_, details);
  outgoing.accept_head = [this](const net::response_head& head) {
    return env_.protocol.parse_response_head(request_, head).valid;
  };
  auto result = attempt_result::unknown;
  std::unique_ptr<net::http_exchange> exchange = env_.client.open(std::move(outgoing));
  current_exchange_ = exchange.get();
  const bool stream = route_->kind == request_kind::stream;
  std::optional<stall_detector::stream> monitored;
  if (stream && route_->repeatable() && attempts_ < route_->attempts)
    monitored.emplace(env_.stalls, target.id, [this, open = exchange.get()] {
      attempt_trail_ += " (stalled)";
      open->cancel();
    });
  monitored_stream_ = monitored ? &*monitored : nullptr;
  try {
    nanoseconds limit = remaining_time();
    if (route_->repeatable() && attempts_ < route_->attempts) {
      const auto attempt_limit = scaled(limit, attempt_time_fraction);
      limit = stream ? std::min(limit, first_event_limit()) : attempt_limit;
    }
    const auto read_head = [open = exchange.get()](nanoseconds wait) { return open->head(wait); };
    const net::response_head head = co_await await_response_part(read_head, target.id, limit);
    target_response response = env_.protocol.parse_response_head(request_, head);
    const auto early_result = check_response_head(response, target);
    if (early_result)
      result = *early_result;
    else if (stream && response.success())
      result = co_await relay_stream(*exchange, std::move(response), target);
    else
      result = co_await relay_complete_response(*exchange, std::move(response), target);
  } catch (const net::transport_error& error) {
    const bool sent = error.progress() == net::request_progress::may_have_been_read;
    result = sent ? attempt_result::unknown : attempt_result::not_run;
    attempt_trail_ += std::string(" (") + error.what() + ")";
    const bool only_slow = sent && error.timed_out() && env_.stalls.is_writing(target.id);
    if (!caller_gone_ && !only_slow && (!sent || error.timed_out()))
      env_.suspicions.suspect(target.id, error.what());
    else if (!caller_gone_ && !only_slow)
      env_.suspicions.count_failure(target.id, error.what());
  }
  current_exchange_ = nullptr;
  monitored_stream_ = nullptr;
  may_have_executed_ =
      may_have_executed_ || result == attempt_result::unknown || result == attempt_result::failed;
  co_return result;
}

std::optional<request_forwarder::attempt_result>
request_forwarder::check_response_head(const target_response& response,
                                       const chosen_target& target) {
  if (response.wrong_instance) {
    env_.suspicions.suspect(target.id, "another instance has its address");
    attempt_trail_ += " (wrong instance)";
    return attempt_result::not_run;
  }
  if (response.not_run) {
    env_.suspicions.count_failure(target.id, "it refused a request");
    attempt_trail_ += " (refused " + std::to_string(response.status) + ")";
    return attempt_result::not_run;
  }
  if (!response.valid) {
    env_.suspicions.count_failure(target.id, "it answered another request");
    attempt_trail_ += " (response does not match the request)";
    return attempt_result::unknown;
  }
  return std::nullopt;
}

support::task<request_forwarder::attempt_result>
request_forwarder::relay_complete_response(net::http_exchange& exchange, target_response response,
                                           const chosen_target& target) {
  std::string body;
  for (;;) {
    std::optional<std::string> piece = co_await exchange.read(remaining_time());
    if (!piece)
      break;
    body += *piece;
  }
  if (!response.success() && response.status >= 500) {
    target_failure_ = std::move(response);
    target_failure_body_ = std::move(body);
    attempt_trail_ += " (failed " + std::to_string(target_failure_->status) + ")";
    co_return attempt_result::failed;
  }
  env_.suspicions.count_success(target.id);
  if (caller_gone_)
    co_return attempt_result::unknown;
  first_byte_at_ = env_.time.now();
  writer_.send(response.status, with_connection_header(std::move(response.forwarded_headers)),
               std::move(body));
  record_outcome("answered", std::to_string(response.status));
  co_return attempt_result::answered;
}

support::task<bool> request_forwarder::forward_event(const target_response& response,
                                                     raw_event event) {
  if (!writer_.started()) {
    first_byte_at_ = env_.time.now();
    writer_.start(response.status, with_connection_header(response.forwarded_headers));
  }
  last_event_id_ = event.id;
  ++events_sent_;
  co_return co_await writer_.write(std::move(event.bytes));
}

support::task<request_forwarder::attempt_result>
request_forwarder::relay_stream(net::http_exchange& exchange, target_response response,
                                const chosen_target& target) {
  event_splitter splitter;
  const auto read_piece = [&exchange](nanoseconds wait) { return exchange.read(wait); };
  for (;;) {
    const bool may_retry_elsewhere = route_->repeatable();
    const nanoseconds idle_limit = events_sent_ == 0 ? first_event_limit() : pause_limit();
    const nanoseconds limit =
        may_retry_elsewhere ? std::min(remaining_time(), idle_limit) : remaining_time();
    std::optional<std::string> piece = co_await await_response_part(read_piece, target.id, limit);
    if (!piece)
      break;
    if (monitored_stream_)
      monitored_stream_->progress();
    splitter.append(*piece);
    while (auto event = splitter.next()) {
      const bool in_order = event->id && (!last_event_id_ || *event->id == *last_event_id_ + 1);
      if (!in_order) {
        attempt_trail_ += " (event out of order)";
        env_.suspicions.count_failure(target.id, "it sent an event out of order");
        co_return attempt_result::unknown;
      }
      const bool accepted = co_await forward_event(response, std::move(*event));
      if (!accepted)
        caller_gone_ = true;
      if (caller_gone_)
        co_return attempt_result::unknown;
    }
  }
  if (splitter.has_partial_event() || events_sent_ == 0) {
    attempt_trail_ += " (ended within an event)";
    env_.suspicions.count_failure(target.id, "its stream ended within an event");
    co_return attempt_result::unknown;
  }
  env_.suspicions.count_success(target.id);
  writer_.finish();
  record_outcome("answered", std::to_string(events_sent_) + " events");
  co_return attempt_result::answered;
}

net::header_list request_forwarder::with_connection_header(net::header_list headers) const {
  if (closes_connection_)
    headers.add("Connection", "close");
  return headers;
}

void request_forwarder::send_local_response(int status, std::string_view reason,
                                            std::optional<milliseconds> retry_after) {
  net::header_list headers = env_.protocol.local_response_headers(request_, retry_after);
  writer_.send(status, with_connection_header(std::move(headers)), std::string(reason) + "\n");
}

void request_forwarder::send_refusal(std::string reason, nanoseconds expected_wait) {
  const auto longest = scaled(remaining_time(), max_retry_after_fraction);
  const auto wait = std::clamp<nanoseconds>(expected_wait, min_retry_after,
                                            std::max<nanoseconds>(longest, min_retry_after));
  send_local_response(503, reason, std::chrono::duration_cast<milliseconds>(wait));
  record_outcome("refused", reason + " (" + std::to_string(env_.queue.slots(pool())) + " slots, " +
                                std::to_string(env_.queue.waiting()) +
                                " requests waiting), retry after " +
                                std::to_string(wait / milliseconds(1)) + " ms");
}

void request_forwarder::send_target_failure() {
  writer_.send(target_failure_->status, with_connection_header(target_failure_->forwarded_headers),
               std::move(target_failure_body_));
  record_outcome("failed", "target response " + std::to_string(target_failure_->status));
}

void request_forwarder::finish_failed_request(attempt_result last) {
  if (writer_.started()) {
    writer_.abort();
    record_outcome("cut", std::to_string(events_sent_) + " events");
    return;
  }
  if (last == attempt_result::failed && target_failure_) {
    send_target_failure();
    return;
  }
  if (!may_have_executed_) {
    send_refusal("no target took the request",
                 env_.queue.expected_wait(pool(), {priority_, deadline_}));
    return;
  }
  const bool deadline_passed = remaining_time() < min_remaining_time;
  send_local_response(deadline_passed ? 504 : 502,
                      "a target may have run the request and gave no whole answer", {});
  record_outcome("unknown", deadline_passed ? "time limit" : "no complete response");
}

void request_forwarder::log_unfinished() const {
  support::log_event(support::log_level::warning, "request_unfinished",
                     {{"request", request_.id},
                      {"route", route_->name},
                      {"state", current_exchange_ ? "waits for its target" : "waits for a slot"},
                      {"events", std::to_string(events_sent_)},
                      {"targets", attempt_trail_},
                      {"age_ms", std::to_string((env_.time.now() - arrived_at_) / milliseconds(1))},
                      {"left_ms", std::to_string(remaining_time() / milliseconds(1))}});
}

void request_forwarder::record_outcome(std::string outcome, std::string detail) {
  const auto now = env_.time.now();
  const auto first_byte = first_byte_at_.value_or(now) - arrived_at_;
  env_.metrics.count_request(route_->name, outcome, first_byte);
  const bool succeeded_on_first_attempt = outcome == "answered" && attempts_ == 1;
  support::log_event(succeeded_on_first_attempt ? support::log_level::info
                                                : support::log_level::warning,
                     "request",
                     {{"request", request_.id},
                      {"route", route_->name},
                      {"outcome", outcome},
                      {"detail", detail},
                      {"targets", attempt_trail_},
                      {"reason", outcome == "answered" ? "" : give_up_reason_},
                      {"config", std::to_string(env_.config.current()->version)},
                      {"entries", std::to_string(env_.registry.newest_version())},
                      {"first_ms", std::to_string(first_byte / milliseconds(1))},
                      {"total_ms", std::to_string((now - arrived_at_) / milliseconds(1))}});
}

} // namespace camphorlug::gateway
