#include "camphorlug/gateway/target_attempt.h"

#include "camphorlug/net/body_framing.h"
#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <utility>

namespace camphorlug::gateway {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// A stream is silent when its first event takes longer than this multiple of the objective.
static constexpr double first_event_limit_factor = 2.5;
static constexpr milliseconds min_first_event_limit{800};
/// The same limit between two events, as a multiple of the pause objective.
static constexpr double pause_limit_factor = 3;
static constexpr milliseconds min_pause_limit{600};
/// Fraction of the remaining time after which the target of a request that is not a stream counts
/// as silent.
static constexpr double silent_time_fraction = 0.4;
/// Reading pauses while the caller has this much of a stream still to take.
static constexpr std::size_t max_queued_bytes = 64 * 1024;
/// An event holds a few tokens. A target that sends more without completing it is broken.
static constexpr std::size_t max_event_bytes = 256 * 1024;
/// A response that is not a stream is held until it is complete, so a body without end would take
/// all memory of the node.
static constexpr std::size_t max_body_bytes = 32 * 1024 * 1024;

/// A stream that has gone on for this long since its first event is not crashed by a part of the
/// prompt any more.
static constexpr milliseconds time_to_survive_parts{1000};

/// While the node's memory is short, a response waits this long at most before more of it is read.
static constexpr milliseconds max_memory_wait{2000};
static constexpr milliseconds memory_check_interval{20};
/// A body's buffer grows by this part, so that it takes little more than it holds.
static constexpr std::size_t body_growth_divisor = 4;

static nanoseconds scaled(nanoseconds span, double factor) {
  return std::chrono::duration_cast<nanoseconds>(span * factor);
}

static nanoseconds pause_limit(const route& chosen) {
  return std::max<nanoseconds>(scaled(chosen.pause_objective, pause_limit_factor), min_pause_limit);
}

static nanoseconds first_part_limit(const route& chosen, nanoseconds remaining_time) {
  if (chosen.kind != request_kind::stream)
    return scaled(remaining_time, silent_time_fraction);
  return std::max<nanoseconds>(scaled(chosen.objective, first_event_limit_factor),
                               min_first_event_limit);
}

namespace {

/// Clears pointers to the locals of a coroutine when it ends or is destroyed.
class pointer_reset {
public:
  pointer_reset(net::http_exchange*& exchange, stall_detector::stream*& monitored)
      : exchange_(exchange), monitored_(monitored) {}
  ~pointer_reset() {
    exchange_ = nullptr;
    monitored_ = nullptr;
  }
  pointer_reset(const pointer_reset&) = delete;
  pointer_reset& operator=(const pointer_reset&) = delete;

private:
  net::http_exchange*& exchange_;
  stall_detector::stream*& monitored_;
};

} // namespace

std::optional<std::uint64_t> resume_point::last_event_id() const {
  if (!repeats_last_event || !position.last_event_id)
    return position.last_event_id;
  const std::uint64_t previous = *position.last_event_id - 1;
  return previous > 0 ? std::optional(previous) : std::nullopt;
}

target_attempt::target_attempt(gateway_environment& environment,
                               std::shared_ptr<const attempted_request> shared, slot_guard slot,
                               resume_point begin, std::function<void()> on_change)
    : env_(environment), shared_(std::move(shared)), target_(slot.target()), begin_(begin),
      position_(begin.position), on_change_(std::move(on_change)),
      started_at_(environment.time.now()), last_progress_(started_at_),
      first_part_limit_(gateway::first_part_limit(*shared_->chosen, remaining_time())),
      queue_drained_(environment.time),
      received_(environment.memory, shared_->request.memory_holder),
      repetition_due_(begin.repeats_last_event) {
  if (repetition_due_)
    position_.last_event_id = begin_.last_event_id().value_or(0);
  slot_.emplace(std::move(slot));
}

bool target_attempt::is_stream() const {
  return shared_->chosen->kind == request_kind::stream;
}

void target_attempt::start(const asio::any_io_executor& executor) {
  support::spawn(executor, "attempt", run(shared_from_this()));
}

void target_attempt::close() {
  closed_ = true;
  on_change_ = nullptr;
  queue_drained_.notify();
  if (exchange_)
    exchange_->cancel();
}

raw_event target_attempt::take_event() {
  raw_event event = std::move(events_.front());
  events_.pop_front();
  queued_bytes_ -= event.bytes.size();
  if (events_.empty())
    queue_drained_.notify();
  return event;
}

std::string target_attempt::describe_end() const {
  std::string text =
      target_.id + " " + std::to_string(response_.status) + " " + net::to_string(framing_);
  if (resumes())
    text += " after " + std::to_string(*begin_.last_event_id());
  return text;
}

support::clock::time_point target_attempt::silent_at() const {
  return last_progress_ + (has_progressed_ ? pause_limit(*shared_->chosen) : first_part_limit_);
}

bool target_attempt::is_silent() const {
  if (result_ || has_event() || is_reading_paused_ || is_confirming_end_)
    return false;
  return (target_stalled_ || env_.time.now() >= silent_at()) && !env_.stalls.is_writing(target_.id);
}

support::task<> target_attempt::run(std::shared_ptr<target_attempt> self) {
  auto result = attempt_result::unknown;
  std::exception_ptr unexpected;
  try {
    result = co_await self->exchange_messages();
  } catch (...) {
    unexpected = std::current_exception();
  }
  self->slot_.reset();
  self->ended_at_ = self->env_.time.now();
  self->result_ = result;
  if (self->on_change_)
    self->on_change_();
  if (unexpected)
    std::rethrow_exception(unexpected);
}

bool target_attempt::may_send() {
  withheld_ = !env_.queue.accepts_requests(target_);
  return !withheld_;
}

net::client_request target_attempt::make_target_request() {
  send_attempt details;
  details.target_id = target_.id;
  details.address = target_.address;
  details.time_left = std::chrono::duration_cast<milliseconds>(remaining_time());
  details.organisation = shared_->organisation;
  details.resume_after = begin_.last_event_id();
  details.reuse_connection = shared_->chosen->repeatable();
  net::client_request outgoing = env_.protocol.build_target_request(shared_->request, details);
  outgoing.limits = net::response_limits::passed_on();
  // The target may say that it leaves while the connection is being established.
  outgoing.send_if = [attempt = shared_from_this()] { return attempt->may_send(); };
  outgoing.accept_head = [&protocol = env_.protocol, shared = shared_](const auto& head) {
    return protocol.parse_response_head(shared->request, head).valid;
  };
  return outgoing;
}

support::task<attempt_result> target_attempt::exchange_messages() {
  if (closed_) {
    was_sent_ = false;
    co_return attempt_result::not_run;
  }
  std::optional<stall_detector::stream> monitored;
  if (is_stream() && shared_->chosen->repeatable())
    monitored.emplace(env_.stalls, target_.id, [this] {
      target_stalled_ = true;
      if (on_change_)
        on_change_();
    });
  monitored_ = monitored ? &*monitored : nullptr;
  const std::unique_ptr<target_sender::exchange> exchange =
      env_.sender.open(shared_->service, target_, make_target_request(), shared_->request.homes);
  exchange_ = exchange.get();
  const pointer_reset reset(exchange_, monitored_);
  auto result = attempt_result::unknown;
  try {
    const net::response_head head = co_await exchange->head(remaining_time());
    response_ = env_.protocol.parse_response_head(shared_->request, head);
    framing_ = head.framing;
    relay_confirms_end_ = exchange->relay_confirms_end();
    const auto early_result = check_head();
    if (early_result)
      result = *early_result;
    else if (is_stream() && response_.success())
      result = co_await read_stream(*exchange);
    else
      result = co_await read_body(*exchange);
  } catch (const net::transport_error& error) {
    const bool sent = error.progress() == net::request_progress::may_have_been_read;
    result = sent ? attempt_result::unknown : attempt_result::not_run;
    was_sent_ = sent;
    if (withheld_) {
      failure_ += " (not sent: it accepts no requests)";
    } else {
      failure_ += std::string(" (") + error.what() + ")";
      if (!exchange->failed_on_lost_path())
        count_transport_failure(error);
    }
  }
  co_return result;
}

/// Records that the connection ended before the target had completed its answer. The parts of a
/// prompt crash a target when it begins to answer, so none of them is the cause later.
void target_attempt::record_loss() {
  const std::vector<std::string>& all = shared_->crash_suspects;
  env_.crash_causes.record_loss(shared_->service,
                                has_survived_parts_ ? std::vector{all.back()} : all,
                                {target_.id, target_.started_at_ms}, started_at_);
}

/// A target may write some events before it crashes, so the first one clears no part yet.
void target_attempt::record_event() {
  const auto now = env_.time.now();
  if (!first_event_at_)
    first_event_at_ = now;
  if (now - *first_event_at_ >= time_to_survive_parts)
    record_answered_parts();
}

void target_attempt::record_answered_parts() {
  const std::vector<std::string>& all = shared_->crash_suspects;
  if (!std::exchange(has_survived_parts_, true))
    env_.crash_causes.record_answer(shared_->service, {all.begin(), all.end() - 1});
}

void target_attempt::record_completion() {
  record_answered_parts();
  env_.crash_causes.record_answer(shared_->service, {shared_->crash_suspects.back()});
}

void target_attempt::count_transport_failure(const net::transport_error& error) {
  if (error.unreadable()) {
    if (!closed_)
      env_.suspicions.count_failure(target_.id, error.what());
    return;
  }
  const bool sent = error.progress() == net::request_progress::may_have_been_read;
  if (!closed_ && sent && !error.timed_out())
    record_loss();
  const bool only_slow = sent && error.timed_out() && env_.stalls.is_writing(target_.id);
  if (closed_ || only_slow)
    return;
  if (!sent || error.timed_out())
    env_.suspicions.suspect(target_.id, error.what());
  else
    env_.suspicions.count_failure(target_.id, error.what());
}

attempt_result target_attempt::fail(attempt_result result, const std::string& note,
                                    const std::string& reason) {
  env_.suspicions.count_failure(target_.id, reason);
  failure_ += " (" + note + ")";
  return result;
}

std::optional<attempt_result> target_attempt::check_head() {
  if (response_.wrong_instance) {
    env_.suspicions.suspect(target_.id, "another instance has its address");
    failure_ += " (wrong instance)";
    return attempt_result::not_run;
  }
  env_.notices.apply_response(target_.id, target_.started_at_ms, response_.notice);
  if (response_.not_run && response_.notice.retry_after) {
    // The pause takes the place of a suspicion, which other nodes would heed too.
    failure_ += " (refused " + std::to_string(response_.status) + ", pauses)";
    return attempt_result::not_run;
  }
  if (response_.not_run)
    return fail(attempt_result::not_run, "refused " + std::to_string(response_.status),
                "it refused a request");
  if (!response_.valid)
    return fail(attempt_result::unknown, "response does not match the request",
                "it answered another request");
  return std::nullopt;
}

support::task<attempt_result> target_attempt::read_body(net::http_exchange& exchange) {
  for (;;) {
    const bool may_read = co_await wait_for_memory(body_.capacity());
    if (!may_read) {
      body_ = {};
      received_.reset();
      failure_ += " (no memory is left for its response)";
      co_return attempt_result::unknown;
    }
    std::optional<std::string> piece = co_await exchange.read(remaining_time());
    if (!piece)
      break;
    if (body_.capacity() < body_.size() + piece->size())
      body_.reserve(body_.size() + piece->size() + body_.size() / body_growth_divisor);
    body_ += *piece;
    if (body_.size() > max_body_bytes) {
      body_ = {};
      received_.reset();
      co_return fail(attempt_result::unknown, "body too large", "it sent a body without end");
    }
  }
  const bool confirmed = co_await confirm_end();
  if (!confirmed) {
    body_ = {};
    received_.reset();
    if (!closed_)
      record_loss();
    co_return fail(attempt_result::unknown, "closed as its process ended",
                   "its process ended within a response");
  }
  // A stream that has begun, here or at an earlier request of its caller, cannot become a failure,
  // whatever the status of a resumed run.
  const bool has_begun = is_stream() && begin_.position.last_event_id.has_value();
  if (!response_.success() &&
      (response_.status >= 500 || response_.reads_as_not_run || has_begun)) {
    failure_ += " (failed " + std::to_string(response_.status) + ")";
    co_return attempt_result::failed;
  }
  record_completion();
  env_.suspicions.count_success(target_.id);
  co_return attempt_result::answered;
}

support::task<bool> target_attempt::confirm_end() {
  // Targets that answer other requests than streams may not answer the question of a peer.
  const bool is_doubtful =
      framing_ == net::body_framing::connection_close || (is_stream() && !relay_confirms_end_);
  if (!is_doubtful)
    co_return true;
  target_entry target;
  target.id = target_.id;
  target.service = shared_->service;
  target.address = target_.address;
  target.started_at_ms = target_.started_at_ms;
  if (target_.epoch != 0)
    target.membership = group_membership{{}, target_.epoch, 0, membership_state::open};
  is_confirming_end_ = true;
  const bool is_confirmed = co_await env_.liveness.is_running(std::move(target), remaining_time());
  is_confirming_end_ = false;
  co_return is_confirmed;
}

/// The wait does not count as silence of the target.
support::task<bool> target_attempt::wait_for_memory(std::size_t held) {
  // Until now it was counted while it was being written.
  if (held < received_.bytes())
    received_.set(held);
  if (received_.try_add(held - received_.bytes()))
    co_return true;
  const auto until = env_.time.now() + std::min<nanoseconds>(max_memory_wait, remaining_time());
  is_reading_paused_ = true;
  if (monitored_)
    monitored_->pause();
  while (!received_.has_room(held - received_.bytes()) && !closed_ && env_.time.now() < until)
    co_await env_.time.sleep_for(memory_check_interval);
  is_reading_paused_ = false;
  last_progress_ = env_.time.now();
  if (monitored_)
    monitored_->resume();
  co_return received_.try_add(held - received_.bytes());
}

void target_attempt::record_progress() {
  last_progress_ = env_.time.now();
  has_progressed_ = true;
  target_stalled_ = false;
  if (monitored_)
    monitored_->progress();
}

/// Returns false when the time limit has passed. The time of the wait does not count as silence of
/// the target.
support::task<bool> target_attempt::wait_until_queue_is_drained() {
  is_reading_paused_ = true;
  if (monitored_)
    monitored_->pause();
  bool notified = true;
  while (queued_bytes_ > max_queued_bytes && !closed_ && notified)
    notified = co_await queue_drained_.wait_for(remaining_time());
  is_reading_paused_ = false;
  last_progress_ = env_.time.now();
  if (monitored_)
    monitored_->resume();
  co_return notified;
}

support::task<attempt_result> target_attempt::read_stream(net::http_exchange& exchange) {
  event_splitter splitter;
  for (;;) {
    if (queued_bytes_ > max_queued_bytes) {
      const bool drained = co_await wait_until_queue_is_drained();
      if (!drained) {
        failure_ += " (the caller reads too slowly)";
        co_return attempt_result::unknown;
      }
    }
    const bool may_read = co_await wait_for_memory(queued_bytes_ + splitter.partial_event_size());
    if (!may_read) {
      failure_ += " (no memory is left for its response)";
      co_return attempt_result::unknown;
    }
    std::optional<std::string> piece = co_await exchange.read(remaining_time());
    if (!piece)
      break;
    splitter.append(*piece);
    while (auto event = splitter.next()) {
      // Bytes of an event that is never completed are no progress.
      record_progress();
      if (!position_.is_followed_by(*event))
        co_return fail(attempt_result::unknown, "event out of order",
                       "it sent an event out of order");
      record_event();
      position_.advance(*event);
      if (std::exchange(repetition_due_, false))
        continue;
      queued_bytes_ += event->bytes.size();
      events_.push_back(std::move(*event));
    }
    if (has_event() && on_change_)
      on_change_();
    if (splitter.partial_event_size() > max_event_bytes)
      co_return fail(attempt_result::unknown, "event too large", "it sent an event without end");
  }
  if (splitter.has_partial_event()) {
    record_loss();
    co_return fail(attempt_result::unknown, "ended within an event",
                   "its stream ended within an event");
  }
  co_return co_await finish_stream();
}

support::task<attempt_result> target_attempt::finish_stream() {
  const bool confirmed = co_await confirm_end();
  if (!confirmed) {
    if (!closed_)
      record_loss();
    co_return fail(attempt_result::unknown, "closed as its process ended",
                   "its process ended within a stream");
  }
  if (!has_progressed_ && resumes()) {
    ended_without_event_ = true;
    failure_ += " (ended without an event)";
    co_return attempt_result::unknown;
  }
  if (!has_progressed_)
    co_return fail(attempt_result::unknown, "ended without an event",
                   "its stream ended without an event");
  record_completion();
  env_.suspicions.count_success(target_.id);
  co_return attempt_result::answered;
}

} // namespace camphorlug::gateway
