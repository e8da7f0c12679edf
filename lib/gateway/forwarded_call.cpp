#include "camphorlug/gateway/forwarded_call.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::gateway {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Part of the objective for which a request waits for a slot: the rest is
/// needed to make the first piece of the answer.
static constexpr double wait_part_of_objective = 0.6;
/// A request is never handed on with less time than this left.
static constexpr milliseconds least_useful_time{5};
/// Silence before the first event, in objectives, after which a stream that may
/// be repeated goes on at another target.
static constexpr double first_event_objectives = 2.5;
static constexpr milliseconds least_first_event_limit{800};
/// The same between two events, in pause objectives.
static constexpr double pause_objectives = 3;
static constexpr milliseconds least_pause_limit{600};
/// Part of the time left that one sending of a repeatable plain request may use.
static constexpr double first_sending_part = 0.4;
/// How often a late sending that stays where it is looks round again.
static constexpr milliseconds late_look_round{200};
static constexpr milliseconds least_retry_after{100};
/// Callers take a Retry-After of up to a third of the time they have left.
static constexpr double longest_retry_after_part = 0.3;

static nanoseconds scaled(nanoseconds span, double factor) {
  return std::chrono::duration_cast<nanoseconds>(span * factor);
}

forwarded_call::forwarded_call(gateway_environment& environment, net::response_writer& writer,
                               caller_request request, std::shared_ptr<const route> chosen,
                               std::string organisation, int priority, bool closes_connection)
    : env_(environment), writer_(writer), request_(std::move(request)), route_(std::move(chosen)),
      organisation_(std::move(organisation)), priority_(priority),
      closes_connection_(closes_connection), arrived_at_(environment.time.now()) {
  const milliseconds patience = request_.patience.value_or(route_->timeout);
  deadline_ = arrived_at_ + std::min(patience, route_->timeout);
  last_event_ = request_.resume_after;
  double sum = 0;
  for (const weighted_service& each : route_->services)
    sum += each.weight;
  double drawn = env_.random.uniform_real() * sum;
  for (const weighted_service& each : route_->services) {
    service_ = each.service;
    drawn -= each.weight;
    if (drawn < 0)
      break;
  }
  const bool in_groups = env_.config.current()->serves_in_groups(service_);
  pool_ = {service_, in_groups ? request_.model : ""};
}

nanoseconds forwarded_call::first_event_limit() const {
  return std::max<nanoseconds>(scaled(route_->objective, first_event_objectives),
                               least_first_event_limit);
}

nanoseconds forwarded_call::pause_limit() const {
  return std::max<nanoseconds>(scaled(route_->pause_objective, pause_objectives),
                               least_pause_limit);
}

support::task<> forwarded_call::run() {
  writer_.on_disconnect([this] {
    gone_ = true;
    if (current_)
      current_->cancel();
  });
  env_.retries.count_request(service_);
  env_.demand.count_arrival(pool());
  auto last = sending_end::not_run;
  while (!gone_) {
    std::optional<held_slot> slot = co_await wait_for_slot();
    if (gone_)
      break;
    if (!slot) {
      if (sendings_ > 0)
        end_without_answer(last);
      else
        refuse("no free slot", env_.line.expected_wait(pool(), {priority_, deadline_}));
      co_return;
    }
    const auto began_at = env_.time.now();
    last = co_await send_to(slot->target());
    env_.line.learn(pool(), env_.time.now() - began_at);
    if (last == sending_end::answered) {
      env_.demand.count_hold(pool(), env_.time.now() - began_at);
      co_return;
    }
    if (gone_ || !may_send_again(last))
      break;
  }
  if (gone_)
    finish("abandoned", "the caller closed its connection");
  else
    end_without_answer(last);
}

support::clock::time_point forwarded_call::slot_deadline() const {
  // A stream in its middle waits as long as its caller tolerates a pause.
  if (events_ > 0)
    return std::min(deadline_, env_.time.now() + pause_limit());
  const auto wait = scaled(route_->objective, wait_part_of_objective);
  return std::min(deadline_ - least_useful_time, env_.time.now() + wait);
}

support::task<std::optional<held_slot>> forwarded_call::wait_for_slot() {
  const waiting_rank rank{priority_, arrived_at_ + route_->objective};
  const auto until = slot_deadline();
  const auto expected = env_.line.expected_wait(pool(), rank);
  // A wait that is known to be in vain is not begun.
  if (env_.time.now() + expected > until && sendings_ == 0)
    co_return std::nullopt;
  waiting_line::applicant wish{pool(), rank, tried_, &gone_};
  co_return co_await env_.line.take(std::move(wish), until);
}

bool forwarded_call::may_send_again(sending_end last) {
  const bool repeatable = route_->repeatable() || last == sending_end::not_run;
  if (!repeatable || sendings_ >= route_->attempts || left() < least_useful_time)
    return false;
  if (!env_.retries.take(service_)) {
    trail_ += " no-retries-left";
    return false;
  }
  env_.metrics.count_retry(last == sending_end::not_run  ? "not_run"
                           : last == sending_end::failed ? "failed"
                                                         : "unknown");
  return true;
}

/// A late sending is given up only for a better one. Where the target works on, no
/// other one has room or no retry is left, its answer still comes sooner than any
/// other, and in a moment of overload each repeat would add to the load.
bool forwarded_call::stays_when_late(const std::string& target_id,
                                     const net::transport_error& error,
                                     support::clock::time_point asked_at, nanoseconds limit) {
  const bool waited = error.timed_out() && env_.time.now() - asked_at >= limit;
  if (!waited || gone_ || left() < least_useful_time)
    return false;
  return env_.stalls.writes(target_id) || !env_.retries.has(service_) ||
         !env_.line.has_room_beside(pool(), tried_);
}

/// Asks for the next part of an answer, which `limit` is to bring, and goes on
/// asking while a late sending stays where it is.
template<class Ask>
auto forwarded_call::await_part(Ask ask, std::string target_id, nanoseconds limit)
    -> std::invoke_result_t<Ask, nanoseconds> {
  for (;;) {
    const auto asked_at = env_.time.now();
    try {
      co_return co_await ask(limit);
    } catch (const net::transport_error& error) {
      if (!stays_when_late(target_id, error, asked_at, limit))
        throw;
    }
    limit = std::min<nanoseconds>(left(), late_look_round);
  }
}

support::task<forwarded_call::sending_end> forwarded_call::send_to(const chosen_target& target) {
  ++sendings_;
  tried_.insert(target.id);
  trail_ += " " + target.id;
  sending details;
  details.target_id = target.id;
  details.address = target.address;
  details.time_left = std::chrono::duration_cast<milliseconds>(left());
  details.organisation = organisation_;
  details.resume_after = last_event_;
  details.reuse_connection = route_->repeatable();
  net::client_request outgoing = env_.protocol.forward(request_, details);
  outgoing.accept_head = [this](const net::response_head& head) {
    return env_.protocol.read_answer(request_, head).genuine;
  };
  auto end = sending_end::unknown;
  std::unique_ptr<net::http_exchange> exchange = env_.client.open(std::move(outgoing));
  current_ = exchange.get();
  const bool stream = route_->kind == request_kind::stream;
  std::optional<stall_watch::stream> watched;
  if (stream && route_->repeatable() && sendings_ < route_->attempts)
    watched.emplace(env_.stalls, target.id, [this, open = exchange.get()] {
      trail_ += " (stalled)";
      open->cancel();
    });
  watched_ = watched ? &*watched : nullptr;
  try {
    nanoseconds limit = left();
    if (route_->repeatable() && sendings_ < route_->attempts) {
      const auto part = scaled(limit, first_sending_part);
      limit = stream ? std::min(limit, first_event_limit()) : part;
    }
    const auto ask_head = [open = exchange.get()](nanoseconds wait) { return open->head(wait); };
    const net::response_head head = co_await await_part(ask_head, target.id, limit);
    target_answer answer = env_.protocol.read_answer(request_, head);
    const auto judged = judge_head(answer, target);
    if (judged)
      end = *judged;
    else if (stream && answer.success())
      end = co_await relay_stream(*exchange, std::move(answer), target);
    else
      end = co_await relay_whole(*exchange, std::move(answer), target);
  } catch (const net::transport_error& error) {
    const bool sent = error.progress() == net::request_progress::may_have_been_read;
    end = sent ? sending_end::unknown : sending_end::not_run;
    trail_ += std::string(" (") + error.what() + ")";
    const bool only_slow = sent && error.timed_out() && env_.stalls.writes(target.id);
    if (!gone_ && !only_slow && (!sent || error.timed_out()))
      env_.suspicions.suspect(target.id, error.what());
    else if (!gone_ && !only_slow)
      env_.suspicions.count_failure(target.id, error.what());
  }
  current_ = nullptr;
  watched_ = nullptr;
  may_have_run_ = may_have_run_ || end == sending_end::unknown || end == sending_end::failed;
  co_return end;
}

std::optional<forwarded_call::sending_end> forwarded_call::judge_head(const target_answer& answer,
                                                                      const chosen_target& target) {
  if (answer.wrong_instance) {
    env_.suspicions.suspect(target.id, "another instance has its address");
    trail_ += " (wrong instance)";
    return sending_end::not_run;
  }
  if (answer.not_run) {
    env_.suspicions.count_failure(target.id, "it refuses requests");
    trail_ += " (refused " + std::to_string(answer.status) + ")";
    return sending_end::not_run;
  }
  if (!answer.genuine) {
    env_.suspicions.count_failure(target.id, "it answered another request");
    trail_ += " (not this request's answer)";
    return sending_end::unknown;
  }
  return std::nullopt;
}

support::task<forwarded_call::sending_end>
forwarded_call::relay_whole(net::http_exchange& exchange, target_answer answer,
                            const chosen_target& target) {
  std::string body;
  for (;;) {
    std::optional<std::string> piece = co_await exchange.read(left());
    if (!piece)
      break;
    body += *piece;
  }
  if (!answer.success() && answer.status >= 500) {
    kept_failure_ = std::move(answer);
    kept_body_ = std::move(body);
    trail_ += " (failed " + std::to_string(kept_failure_->status) + ")";
    co_return sending_end::failed;
  }
  env_.suspicions.count_success(target.id);
  if (gone_)
    co_return sending_end::unknown;
  first_byte_at_ = env_.time.now();
  writer_.send(answer.status, with_connection_state(std::move(answer.passed_headers)),
               std::move(body));
  finish("answered", std::to_string(answer.status));
  co_return sending_end::answered;
}

support::task<bool> forwarded_call::pass_on(const target_answer& answer, raw_event event) {
  if (!writer_.started()) {
    first_byte_at_ = env_.time.now();
    writer_.start(answer.status, with_connection_state(answer.passed_headers));
  }
  last_event_ = event.id;
  ++events_;
  co_return co_await writer_.write(std::move(event.bytes));
}

support::task<forwarded_call::sending_end>
forwarded_call::relay_stream(net::http_exchange& exchange, target_answer answer,
                             const chosen_target& target) {
  event_splitter splitter;
  const auto ask_piece = [&exchange](nanoseconds wait) { return exchange.read(wait); };
  for (;;) {
    const bool may_move = route_->repeatable();
    const nanoseconds patience = events_ == 0 ? first_event_limit() : pause_limit();
    const nanoseconds limit = may_move ? std::min(left(), patience) : left();
    std::optional<std::string> piece = co_await await_part(ask_piece, target.id, limit);
    if (!piece)
      break;
    if (watched_)
      watched_->progress();
    splitter.append(*piece);
    while (auto event = splitter.next()) {
      const bool in_order = event->id && (!last_event_ || *event->id == *last_event_ + 1);
      if (!in_order) {
        trail_ += " (event out of order)";
        env_.suspicions.count_failure(target.id, "it sent an event out of order");
        co_return sending_end::unknown;
      }
      const bool taken = co_await pass_on(answer, std::move(*event));
      if (!taken)
        gone_ = true;
      if (gone_)
        co_return sending_end::unknown;
    }
  }
  if (splitter.has_rest() || events_ == 0) {
    trail_ += " (ended within an event)";
    env_.suspicions.count_failure(target.id, "its stream ended within an event");
    co_return sending_end::unknown;
  }
  env_.suspicions.count_success(target.id);
  writer_.finish();
  finish("answered", std::to_string(events_) + " events");
  co_return sending_end::answered;
}

net::header_list forwarded_call::with_connection_state(net::header_list headers) const {
  if (closes_connection_)
    headers.add("Connection", "close");
  return headers;
}

void forwarded_call::send_own(int status, std::string_view reason,
                              std::optional<milliseconds> retry_after) {
  net::header_list headers = env_.protocol.own_answer_headers(request_, retry_after);
  writer_.send(status, with_connection_state(std::move(headers)), std::string(reason) + "\n");
}

void forwarded_call::refuse(std::string reason, nanoseconds expected_wait) {
  const auto longest = scaled(left(), longest_retry_after_part);
  const auto wait = std::clamp<nanoseconds>(expected_wait, least_retry_after,
                                            std::max<nanoseconds>(longest, least_retry_after));
  send_own(503, reason, std::chrono::duration_cast<milliseconds>(wait));
  finish("refused", reason + " (" + std::to_string(env_.line.slots(pool())) + " slots, " +
                        std::to_string(env_.line.waiting()) + " requests wait), retry after " +
                        std::to_string(wait / milliseconds(1)) + " ms");
}

void forwarded_call::send_kept_failure() {
  writer_.send(kept_failure_->status, with_connection_state(kept_failure_->passed_headers),
               std::move(kept_body_));
  finish("failed", "the target's own " + std::to_string(kept_failure_->status));
}

void forwarded_call::end_without_answer(sending_end last) {
  if (writer_.started()) {
    writer_.abort();
    finish("cut", std::to_string(events_) + " events");
    return;
  }
  if (last == sending_end::failed && kept_failure_) {
    send_kept_failure();
    return;
  }
  if (!may_have_run_) {
    refuse("no target took the request", env_.line.expected_wait(pool(), {priority_, deadline_}));
    return;
  }
  const bool late = left() < least_useful_time;
  send_own(late ? 504 : 502, "a target may have run the request and gave no whole answer", {});
  finish("unknown", late ? "time limit" : "no whole answer");
}

void forwarded_call::finish(std::string outcome, std::string detail) {
  const auto now = env_.time.now();
  const auto first_byte = first_byte_at_.value_or(now) - arrived_at_;
  env_.metrics.count_request(route_->name, outcome, first_byte);
  const bool usual = outcome == "answered" && sendings_ == 1;
  support::log_event(usual ? support::log_level::info : support::log_level::warning, "request",
                     {{"request", request_.id},
                      {"route", route_->name},
                      {"outcome", outcome},
                      {"detail", detail},
                      {"targets", trail_},
                      {"config", std::to_string(env_.config.current()->version)},
                      {"entries", std::to_string(env_.registry.newest_version())},
                      {"first_ms", std::to_string(first_byte / milliseconds(1))},
                      {"total_ms", std::to_string((now - arrived_at_) / milliseconds(1))}});
}

} // namespace camphorlug::gateway
