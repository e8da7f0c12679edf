#include "camphorlug/gateway/request_forwarder.h"

#include "camphorlug/gateway/request_identity.h"
#include "camphorlug/net/body_framing.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <asio/this_coro.hpp>
#include <utility>

namespace camphorlug::gateway {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Fraction of the objective that a request may wait for a slot. The rest is
/// needed to produce the first part of the response.
static constexpr double slot_wait_fraction = 0.6;
/// Limits of the wait for a slot that a scheduler assigns, the first as a fraction of the remaining
/// time. Callers expect the first part of a response within a few seconds.
static constexpr double max_wait_fraction = 0.25;
static constexpr milliseconds max_scheduled_wait{1000};
/// A request is not sent to a target with less time than this before its deadline.
static constexpr milliseconds min_remaining_time{5};
/// Interval at which a request whose targets are silent looks for a replacement.
static constexpr milliseconds replacement_check_interval{50};
/// Attempts that reach no target do not count as attempts, up to this number: each of them may cost
/// the time to connect.
static constexpr std::size_t max_unsent_attempts = 3;
static constexpr milliseconds restart_check_interval{50};
/// Interval at which a slow request that got no second try asks again.
static constexpr milliseconds second_try_interval{200};
static constexpr milliseconds min_retry_after{100};
/// A message to the scheduler and its answer take less.
static constexpr milliseconds noticeable_wait{20};
/// A ban ends only when its cause is gone, so an earlier return would be in vain.
static constexpr milliseconds banned_retry_after{60'000};
/// Callers accept a Retry-After of up to a third of their remaining time.
static constexpr double max_retry_after_fraction = 0.3;

/// A suspected request waits at most this long for the outcome of an equal one, and at most for
/// this fraction of its remaining time.
static constexpr milliseconds max_trial_wait{1000};
static constexpr double max_trial_wait_fraction = 0.5;
static constexpr milliseconds trial_check_interval{50};
/// A trial is over when its stream has gone on for this long. Targets crash when they begin to
/// answer or soon after, and others should not wait for the end of a long stream.
static constexpr milliseconds survival_time{1000};

static nanoseconds scaled(nanoseconds span, double factor) {
  return std::chrono::duration_cast<nanoseconds>(span * factor);
}

request_forwarder::request_forwarder(gateway_environment& environment, net::response_writer& writer,
                                     caller_request request, std::shared_ptr<const route> chosen,
                                     std::string organisation, int priority,
                                     std::function<bool()> closes_connection)
    : env_(environment), writer_(writer), route_(std::move(chosen)), priority_(priority),
      closes_connection_(std::move(closes_connection)), arrived_at_(environment.time.now()),
      class_(route_->name, {}, request.prompt_tokens), activity_(environment.time) {
  time_since_first_attempt_ = env_.usual_limits.time_used(route_->name, request.time_limit);
  const auto deadline = arrived_at_ + request.time_limit_within(route_->timeout);
  position_.last_event_id = request.resume_after;
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
  pool_ = {service_, env_.config.current()->selecting_model(service_, request.model),
           request.homes};
  class_.pool = pool_;
  std::vector<std::string> suspects = crash_suspects_of(request, organisation);
  shared_ = std::make_shared<attempted_request>(attempted_request{std::move(request), route_,
                                                                  service_, std::move(organisation),
                                                                  std::move(suspects), deadline});
}

request_forwarder::~request_forwarder() {
  for (const open_attempt& each : open_)
    each.attempt->close();
}

support::task<> request_forwarder::run() {
  writer_.on_disconnect([this] {
    caller_gone_ = true;
    activity_.notify();
  });
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  if (banned_cause()) {
    reject_banned_request();
    co_return;
  }
  env_.retries.count_request(service_);
  env_.second_tries.count_request(service_);
  env_.demand.count_arrival(pool(), reading_slot_time());
  bool finished = false;
  while (!finished && !caller_gone_) {
    if (open_.empty()) {
      finished = !co_await start_first_open_attempt(executor);
      continue;
    }
    co_await activity_.wait_for(time_until_check());
    if (caller_gone_)
      break;
    finished = co_await forward_ready_parts();
    if (!finished && !caller_gone_) {
      seek_replacement(executor);
      seek_second_try(executor);
    }
  }
  for (const open_attempt& each : std::exchange(open_, {}))
    end_attempt(each);
  if (!finished && !ended_before_exit_)
    record_outcome("abandoned", "the caller closed its connection");
}

/// Sends the request to a target while no attempt is open. Returns false if the request has ended
/// instead.
support::task<bool>
request_forwarder::start_first_open_attempt(const asio::any_io_executor& executor) {
  if (attempts_ > 0 && !may_retry(last_result_)) {
    finish_failed_request(last_result_);
    co_return false;
  }
  const auto asked_at = env_.time.now();
  slot_queue::slot_result waited = co_await wait_for_permitted_slot();
  const nanoseconds waited_for = env_.time.now() - asked_at;
  slot_wait_ += waited_for;
  scheduled_retry_after_ = waited.retry_after;
  count_cold_wait(static_cast<bool>(waited), waited_for);
  if (caller_gone_)
    co_return true;
  // The request may have been banned while it waited.
  if (banned_cause()) {
    if (attempts_ > 0)
      finish_failed_request(last_result_);
    else
      reject_banned_request();
    co_return false;
  }
  if (waited) {
    start_attempt(std::move(*waited.slot), executor);
    co_return true;
  }
  give_up(waits_for_trial_ ? "an equal request was being tried"
                           : "no other target had a free slot in time");
  if (attempts_ > 0)
    finish_failed_request(last_result_);
  else
    send_refusal(waits_for_trial_ ? "an equal request, which may crash its target, is being tried"
                                  : "no free slot",
                 wait_after_refusal());
  co_return false;
}

void request_forwarder::start_attempt(slot_guard slot, const asio::any_io_executor& executor) {
  ++attempts_;
  tried_starts_[slot.target().id] = slot.target().started_at_ms;
  trail_.push_back(slot.target().id);
  const bool repeats_last_event = doubtful_end_ && position_.last_event_id.value_or(0) > 0;
  const resume_point begin{position_, repeats_last_event};
  auto attempt = std::make_shared<target_attempt>(env_, shared_, std::move(slot), begin,
                                                  [this] { activity_.notify(); });
  attempt->start(executor);
  open_.push_back({std::move(attempt), trail_.size() - 1});
}

std::size_t request_forwarder::sent_attempts() const {
  return attempts_ - std::min(unsent_attempts_, max_unsent_attempts);
}

bool request_forwarder::has_attempts_left() const {
  return sent_attempts() < route_->attempts && remaining_time() >= min_remaining_time;
}

/// Sends the request to a further target if all open attempts are silent. No attempt is closed,
/// because a silent target may go on before its replacement. Under overload each retry adds load,
/// so none is made unless an unsuspected target has a free slot.
void request_forwarder::seek_replacement(const asio::any_io_executor& executor) {
  const bool all_silent = std::all_of(open_.begin(), open_.end(), [](const open_attempt& each) {
    return each.attempt->is_silent();
  });
  if (open_.empty() || !all_silent || banned_cause() || is_suspected() || !route_->repeatable() ||
      !has_attempts_left() || !env_.retries.can_retry(service_) ||
      !env_.queue.has_alternative(pool(), tried_targets()))
    return;
  std::optional<slot_guard> slot = env_.queue.try_acquire(make_slot_request());
  if (!slot || !env_.retries.try_acquire(service_))
    return;
  env_.metrics.count_retry("silent");
  for (open_attempt& each : open_) {
    if (std::exchange(each.was_silent, true))
      continue;
    note(each, "stalled");
    env_.suspicions.suspect(each.attempt->target_id(), "it is silent");
  }
  start_attempt(std::move(*slot), executor);
}

nanoseconds request_forwarder::time_until_check() const {
  const nanoseconds until_deadline = std::max<nanoseconds>(remaining_time(), min_remaining_time);
  if (!route_->repeatable() || !has_attempts_left())
    return until_deadline;
  support::clock::time_point silent_at = open_.front().attempt->silent_at();
  for (const open_attempt& each : open_)
    silent_at = std::max(silent_at, each.attempt->silent_at());
  const auto until_silent =
      std::clamp<nanoseconds>(silent_at - env_.time.now(), replacement_check_interval,
                              std::max<nanoseconds>(until_deadline, replacement_check_interval));
  return std::min(until_silent, time_until_second_try());
}

std::optional<nanoseconds> request_forwarder::usual_time() const {
  return env_.first_parts.quantile(class_, env_.second_tries.quantile());
}

nanoseconds request_forwarder::time_until_second_try() const {
  if (!env_.second_tries.enabled() || attempts_ != 1 || first_byte_at_)
    return nanoseconds::max();
  const auto usual = usual_time();
  if (!usual)
    return nanoseconds::max();
  if (second_try_considered_at_)
    return std::max<nanoseconds>(*second_try_considered_at_ + second_try_interval - env_.time.now(),
                                 min_remaining_time);
  return std::max<nanoseconds>(*usual - open_.front().attempt->held(), nanoseconds(0)) +
         milliseconds(1);
}

void request_forwarder::seek_second_try(const asio::any_io_executor& executor) {
  if (!env_.second_tries.enabled() || open_.size() != 1 || attempts_ != 1 || first_byte_at_)
    return;
  const nanoseconds wait = open_.front().attempt->held();
  const auto usual = usual_time();
  if (!usual || wait <= *usual)
    return;
  const auto now = env_.time.now();
  if (second_try_considered_at_ && now - *second_try_considered_at_ < second_try_interval)
    return;
  second_try_considered_at_ = now;
  const second_try_case request{service_, route_->repeatable() && has_attempts_left(),  attempts_,
                                false,    is_suspected() || banned_cause().has_value(), wait,
                                usual};
  if (!env_.second_tries.is_due(request) || !env_.retries.can_retry(service_) ||
      !env_.second_tries.has_room(env_.queue.waiting(pool()), env_.queue.spare_share(pool())))
    return;
  slot_request wanted = make_slot_request();
  wanted.avoided.merge(env_.queue.cold_ids(pool()));
  if (!env_.queue.has_alternative(pool(), wanted.avoided))
    return;
  std::optional<slot_guard> slot = env_.queue.try_acquire(wanted);
  if (!slot || !env_.retries.try_acquire(service_))
    return;
  env_.second_tries.count_second_try(service_);
  env_.metrics.count_retry("slow");
  env_.metrics.count_second_try("started");
  note(open_.front(), "slow, second try");
  second_try_ = trail_.size();
  start_attempt(std::move(*slot), executor);
}

bool request_forwarder::is_ready(const open_attempt& each) {
  return each.attempt->has_event() || each.attempt->result() == attempt_result::answered;
}

/// Forwards what the attempts have received. Returns whether the request has ended.
support::task<bool> request_forwarder::forward_ready_parts() {
  const auto ready = std::find_if(open_.begin(), open_.end(), is_ready);
  if (ready != open_.end()) {
    const std::shared_ptr<target_attempt> attempt = ready->attempt;
    close_other_attempts(*attempt);
    const bool accepted = co_await forward_events(*attempt);
    if (!accepted)
      caller_gone_ = true;
    if (caller_gone_)
      co_return false;
    if (!attempt->has_event() && attempt->result() == attempt_result::answered) {
      co_await finish_answered_request(*attempt);
      co_return true;
    }
  }
  drop_failed_attempts();
  co_return false;
}

/// Returns false when the caller has disconnected.
support::task<bool> request_forwarder::forward_events(target_attempt& attempt) {
  while (attempt.has_event() && !caller_gone_) {
    raw_event event = attempt.take_event();
    if (!writer_.started()) {
      const target_response& response = attempt.response();
      first_byte_at_ = env_.time.now();
      if (attempts_ == 1)
        env_.queue.update_first_part_estimate(pool(), attempt.held());
      record_first_part(attempt);
      writer_.start(response.status, with_connection_header(response.forwarded_headers));
    }
    check_trial();
    position_.advance(event);
    const bool accepted = co_await writer_.write(std::move(event.bytes));
    if (!accepted)
      co_return false;
  }
  co_return true;
}

support::task<> request_forwarder::finish_answered_request(target_attempt& attempt) {
  env_.demand.record_hold(pool(), attempt.held());
  report_trial(trial_step::survived);
  if (route_->kind == request_kind::stream) {
    stream_end_ = attempt.describe_end();
    env_.metrics.count_stream_end(net::to_string(attempt.framing()), attempt.resumes());
  }
  std::string detail;
  if (position_.events > 0) {
    writer_.finish();
    detail = std::to_string(position_.events) + " events";
  } else {
    first_byte_at_ = env_.time.now();
    record_first_part(attempt);
    // Of a stream that was at its end when its caller resumed it, the caller gets the whole
    // response of the target that said so, not a part of one that repeated an event.
    const bool confirms_end = doubtful_end_ && attempt.response().success();
    const target_response& response = confirms_end ? *doubtful_end_ : attempt.response();
    writer_.send(response.status, with_connection_header(response.forwarded_headers),
                 attempt.take_body());
    detail = std::to_string(response.status);
  }
  const bool written = co_await writer_.written();
  if (written)
    record_outcome("answered", detail);
  else
    record_outcome("abandoned", "the caller closed its connection before all was written");
}

void request_forwarder::close_other_attempts(const target_attempt& kept) {
  for (open_attempt& each : open_) {
    if (each.attempt.get() != &kept) {
      note(each, "another target went on first");
      may_have_executed_ = true;
      end_attempt(each);
    } else if (std::exchange(each.was_silent, false)) {
      note(each, "resumed");
      env_.suspicions.end_suspension(kept.target_id());
    }
  }
  if (open_.size() > 1)
    count_kept_attempt(kept);
  std::erase_if(open_, [&](const open_attempt& each) { return each.attempt.get() != &kept; });
}

/// A request whose only further target is a second try was not silent.
void request_forwarder::count_kept_attempt(const target_attempt& kept) {
  if (!second_try_ || open_.size() > 2)
    env_.metrics.count_silence(trail_.back() == kept.target_id() ? "replaced" : "resumed");
  for (const open_attempt& each : open_) {
    if (second_try_ && each.attempt.get() == &kept)
      env_.metrics.count_second_try(each.trail_index == *second_try_ ? "won" : "lost");
  }
}

/// Only the first target's time counts, because all others get slow requests only.
void request_forwarder::record_first_part(const target_attempt& kept) {
  if (env_.second_tries.enabled() && open_.front().attempt.get() == &kept &&
      open_.front().trail_index == 0)
    env_.first_parts.record(class_, kept.held());
}

void request_forwarder::end_attempt(const open_attempt& ended) {
  ended.attempt->close();
  if (env_.second_tries.enabled() && ended.trail_index == 0 && !first_byte_at_)
    env_.first_parts.record_minimum(class_, ended.attempt->held(), env_.second_tries.quantile());
  env_.queue.update_hold_estimate(pool(), ended.attempt->held());
}

/// Removes the attempts that cannot provide the rest of the response.
void request_forwarder::drop_failed_attempts() {
  const auto has_failed = [](const open_attempt& each) {
    return each.attempt->result() && !each.attempt->has_event();
  };
  for (const open_attempt& each : open_) {
    if (!has_failed(each))
      continue;
    last_result_ = *each.attempt->result();
    trail_[each.trail_index] += each.attempt->failure();
    if (last_result_ == attempt_result::failed) {
      target_failure_ = each.attempt->response();
      target_failure_body_ = each.attempt->take_body();
    }
    if (each.attempt->ended_without_event())
      doubtful_end_ = each.attempt->response();
    if (!each.attempt->was_sent())
      ++unsent_attempts_;
    if (last_result_ == attempt_result::not_run)
      report_trial(trial_step::not_sent);
    else
      is_trial_ = false;
    may_have_executed_ = may_have_executed_ || last_result_ != attempt_result::not_run;
    end_attempt(each);
  }
  std::erase_if(open_, has_failed);
}

void request_forwarder::note(const open_attempt& each, std::string_view text) {
  trail_[each.trail_index] += " (" + std::string(text) + ")";
}

std::string request_forwarder::attempt_trail() const {
  std::string text;
  for (const std::string& each : trail_)
    text += " " + each;
  return text;
}

support::clock::time_point request_forwarder::slot_deadline() {
  // A stream that has begun is not given up while its caller waits for it.
  if (position_.events > 0)
    return shared_->deadline;
  // A late answer is still of use, so the scheduler may let the request wait longer.
  if (env_.queue.is_scheduled(pool()))
    return env_.time.now() +
           std::min<nanoseconds>(scaled(remaining_time(), max_wait_fraction), max_scheduled_wait);
  const auto wait = scaled(route_->objective, slot_wait_fraction);
  return std::min(shared_->deadline - min_remaining_time, env_.time.now() + wait);
}

nanoseconds request_forwarder::reading_slot_time() const {
  const auto& services = env_.config.current()->services;
  const auto service = services.find(service_);
  if (service == services.end() || !service->second.engine)
    return nanoseconds(0);
  return service->second.engine->reading_slot_time(pool().model, shared_->request.prompt_tokens);
}

slot_request request_forwarder::make_slot_request() const {
  slot_request request{pool(), rank(), tried_targets(), &caller_gone_};
  request.organisation = shared_->organisation;
  request.in_time_until =
      arrived_at_ - time_since_first_attempt_ + env_.queue.usable_wait(pool(), route_->objective);
  request.prompt_tokens = shared_->request.prompt_tokens;
  return request;
}

/// Counts a request that got no slot, or only after a while, beside a cold target with a free one.
void request_forwarder::count_cold_wait(bool has_slot, nanoseconds waited) {
  if (has_slot && waited < noticeable_wait)
    return;
  if (env_.queue.withholds_cold(pool(), tried_targets()))
    env_.metrics.count_cold_wait(has_slot ? "held_back" : "refused");
}

nanoseconds request_forwarder::wait_after_refusal() {
  return scheduled_retry_after_ ? *scheduled_retry_after_
                                : env_.queue.expected_wait(pool(), {priority_, shared_->deadline});
}

support::task<slot_queue::slot_result> request_forwarder::wait_for_slot() {
  const auto until = slot_deadline();
  // The first attempt fails at once if the expected wait exceeds the limit.
  const bool may_wait = attempts_ > 0 || env_.queue.is_scheduled(pool()) ||
                        env_.time.now() + env_.queue.expected_wait(pool(), rank()) <= until;
  const auto resumes_at = env_.queue.paused_until(pool(), tried_targets());
  if (!may_wait || (resumes_at && *resumes_at > until))
    co_return slot_queue::slot_result{};
  for (;;) {
    // A target that was not reached may start again meanwhile.
    const bool rechecks = unsent_attempts_ > 0 && !env_.queue.is_scheduled(pool());
    const auto checked_at =
        rechecks ? std::min(until, env_.time.now() + restart_check_interval) : until;
    slot_request request = make_slot_request();
    slot_queue::slot_result waited = co_await env_.queue.acquire(std::move(request), checked_at);
    const bool goes_on = !waited && !waited.retry_after && !caller_gone_ && checked_at < until &&
                         env_.time.now() >= checked_at;
    if (!goes_on)
      co_return waited;
  }
}

std::set<std::string> request_forwarder::tried_targets() const {
  std::set<std::string> ids;
  for (const auto& [id, started_at_ms] : tried_starts_) {
    const target_entry* entry = env_.registry.find(id);
    if (!entry || entry->started_at_ms == started_at_ms)
      ids.insert(id);
  }
  return ids;
}

void request_forwarder::report_trial(trial_step step) {
  if (std::exchange(is_trial_, false))
    env_.trials.report(identity(), step);
}

void request_forwarder::check_trial() {
  if (!is_trial_)
    return;
  const auto now = env_.time.now();
  if (!trial_answered_at_)
    trial_answered_at_ = now;
  if (now - *trial_answered_at_ >= survival_time)
    report_trial(trial_step::survived);
}

support::task<slot_queue::slot_result> request_forwarder::wait_for_permitted_slot() {
  const auto until =
      env_.time.now() +
      std::min<nanoseconds>(scaled(remaining_time(), max_trial_wait_fraction), max_trial_wait);
  for (;;) {
    slot_queue::slot_result waited = co_await wait_for_slot();
    if (!waited || caller_gone_ || !is_suspected() || banned_cause())
      co_return waited;
    const trial_answer answer = co_await env_.trials.ask(identity());
    is_trial_ = answer == trial_answer::granted;
    trial_answered_at_.reset();
    if (answer != trial_answer::busy)
      co_return waited;
    // Others may use the slot meanwhile.
    waited.slot.reset();
    if (env_.time.now() >= until) {
      waits_for_trial_ = true;
      co_return slot_queue::slot_result{};
    }
    co_await activity_.wait_for(trial_check_interval);
  }
}

bool request_forwarder::may_retry(attempt_result last) {
  const bool repeatable = route_->repeatable() || last == attempt_result::not_run;
  if (!repeatable)
    return give_up("the request may not run again");
  if (banned_cause())
    return give_up("it or a part of its prompt crashes targets");
  if (sent_attempts() >= route_->attempts)
    return give_up("the route allows no further attempt");
  if (!has_attempts_left())
    return give_up("the time limit has passed");
  if (const auto resumes_at = env_.queue.paused_until(pool(), tried_targets());
      resumes_at && *resumes_at > slot_deadline())
    return give_up("all targets have asked for a pause");
  if (!env_.retries.try_acquire(service_)) {
    trail_.emplace_back("no-retries-left");
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

net::header_list request_forwarder::with_connection_header(net::header_list headers) const {
  if (closes_connection_())
    headers.add("Connection", "close");
  return headers;
}

void request_forwarder::send_local_response(int status, std::string_view reason,
                                            std::optional<milliseconds> retry_after) {
  net::header_list headers = env_.protocol.local_response_headers(shared_->request, retry_after);
  writer_.send(status, with_connection_header(std::move(headers)), std::string(reason) + "\n");
}

void request_forwarder::send_refusal(std::string reason, nanoseconds expected_wait) {
  const auto longest = scaled(remaining_time(), max_retry_after_fraction);
  auto wait = std::clamp<nanoseconds>(expected_wait, min_retry_after,
                                      std::max<nanoseconds>(longest, min_retry_after));
  // Unlike a queue, a pause does not get shorter, so an earlier return would be in vain.
  if (const auto resumes_at = env_.queue.paused_until(pool(), {}))
    wait = std::max<nanoseconds>(*resumes_at - env_.time.now(), min_retry_after);
  send_local_response(503, reason, std::chrono::duration_cast<milliseconds>(wait));
  record_outcome("refused", reason + " (" + std::to_string(env_.queue.slots(pool())) + " slots, " +
                                std::to_string(env_.queue.waiting()) +
                                " requests waiting), retry after " +
                                std::to_string(wait / milliseconds(1)) + " ms");
}

void request_forwarder::reject_banned_request() {
  const std::string cause = banned_cause().value_or("");
  const std::string reason =
      is_request_identity(cause)
          ? "not run: this request has crashed the instances that ran it (" + cause + ")"
          : "not run: part " + cause +
                " of the prompt has crashed the instances that began to answer it";
  send_local_response(503, reason, banned_retry_after);
  record_outcome("rejected", reason);
}

void request_forwarder::send_target_failure() {
  const int status = target_failure_->status;
  // The target has not stated that it did not run the request, so its caller must not read that.
  if (target_failure_->reads_as_not_run)
    send_local_response(
        502, "a target may have run the request and answered " + std::to_string(status), {});
  else
    writer_.send(status, with_connection_header(target_failure_->forwarded_headers),
                 std::move(target_failure_body_));
  record_outcome("failed", "target response " + std::to_string(status));
}

void request_forwarder::finish_failed_request(attempt_result last) {
  if (writer_.started()) {
    writer_.abort();
    record_outcome("cut", std::to_string(position_.events) + " events");
    return;
  }
  if (last == attempt_result::failed && target_failure_) {
    send_target_failure();
    return;
  }
  if (!may_have_executed_) {
    send_refusal("no target took the request", wait_after_refusal());
    return;
  }
  const bool deadline_passed = remaining_time() < min_remaining_time;
  send_local_response(deadline_passed ? 504 : 502,
                      "a target may have run the request and gave no whole answer", {});
  record_outcome("unknown", deadline_passed ? "time limit" : "no complete response");
}

const char* request_forwarder::state() const {
  if (open_.empty())
    return "waits for a slot";
  return open_.front().attempt->result() ? "waits until its caller reads" : "waits for its target";
}

void request_forwarder::end_before_exit(nanoseconds since_shutdown) {
  support::log_event(support::log_level::warning, "request_unfinished",
                     {{"request", shared_->request.id},
                      {"route", route_->name},
                      {"state", state()},
                      {"events", std::to_string(position_.events)},
                      {"targets", attempt_trail()},
                      {"age_ms", std::to_string((env_.time.now() - arrived_at_) / milliseconds(1))},
                      {"since_shutdown_ms", std::to_string(since_shutdown / milliseconds(1))},
                      {"left_ms", std::to_string(remaining_time() / milliseconds(1))}});
  if (writer_.started() || caller_gone_ || std::any_of(open_.begin(), open_.end(), is_ready))
    return;
  give_up("this node ends");
  if (open_.empty() && !may_have_executed_) {
    send_refusal("this node ends; connect to another one", min_retry_after);
  } else {
    send_local_response(502, "this node ends; a target may have run the request", {});
    record_outcome("unknown", "this node ends");
  }
  ended_before_exit_ = true;
  // Ends `run` and the attempts.
  caller_gone_ = true;
  activity_.notify();
}

void request_forwarder::record_outcome(std::string outcome, std::string detail) {
  const auto now = env_.time.now();
  const auto first_byte = first_byte_at_.value_or(now) - arrived_at_;
  env_.metrics.count_request(route_->name, outcome, first_byte);
  const bool succeeded_on_first_attempt = outcome == "answered" && attempts_ == 1;
  support::log_event(succeeded_on_first_attempt ? support::log_level::info
                                                : support::log_level::warning,
                     "request",
                     {{"request", shared_->request.id},
                      {"route", route_->name},
                      {"outcome", outcome},
                      {"detail", detail},
                      {"targets", attempt_trail()},
                      {"end", stream_end_},
                      {"reason", outcome == "answered" ? "" : give_up_reason_},
                      {"config", std::to_string(env_.config.current()->version)},
                      {"entries", std::to_string(env_.registry.newest_version())},
                      {"wait_ms", std::to_string(slot_wait_ / milliseconds(1))},
                      {"first_ms", std::to_string(first_byte / milliseconds(1))},
                      {"total_ms", std::to_string((now - arrived_at_) / milliseconds(1))}});
}

} // namespace camphorlug::gateway
