#include "camphorlug/requests/stream_relay.h"

#include "camphorlug/net/generation_event.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/requests/outcome_answer.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::requests {

/// Moves to another group without an event in between.
static constexpr std::size_t most_moves = 2;
static constexpr std::chrono::milliseconds connect_timeout{500};
static constexpr std::chrono::milliseconds cancel_timeout{500};

static std::uint64_t extend_hash(std::uint64_t hash, const std::string& text) {
  return support::fast_hash(text, hash);
}

stream_relay::stream_relay(request_environment& environment, service_gate& gate, call& current,
                           stream_sink& sink)
    : environment_(environment), gate_(gate), call_(current), sink_(sink) {}

support::task<request_outcome> stream_relay::run() {
  if (call_.resume_after && !locate_resumed_stream())
    approach_ = approach::regenerate;
  for (;;) {
    if (!has_target_ && !find_target())
      break;
    const leg_end end = co_await run_leg();
    if (end == leg_end::finished) {
      release_target();
      co_await sink_.done();
      co_return request_outcome::answered;
    }
    if (end == leg_end::caller_gone) {
      // The stream stays at its engine for a while, so that the caller can go on.
      release_target();
      co_return request_outcome::abandoned;
    }
    if (end == leg_end::rejected) {
      release_target();
      co_await sink_.fail(rejection_.status, request_outcome::rejected, rejection_.type,
                          rejection_.detail, std::chrono::seconds(0));
      co_return request_outcome::rejected;
    }
    gate_.router.on_failure(target_.id);
    if (!choose_next_approach(end))
      break;
  }
  release_target();
  co_return co_await give_up();
}

bool stream_relay::find_target() {
  const auto chosen = gate_.router.pick(call_.affinity, call_.tried);
  if (!chosen)
    return false;
  target_ = *chosen;
  has_target_ = true;
  call_.tried.push_back(target_.id);
  attempt_ = environment_.random.identifier();
  return true;
}

/// Takes up the stream that the caller's Last-Event-ID names, at its own group.
bool stream_relay::locate_resumed_stream() {
  const stream_position& position = *call_.resume_after;
  next_index_ = position.index + 1;
  text_known_ = false;
  text_hash_ = std::strtoull(position.text_hash.c_str(), nullptr, 16);
  const auto found = gate_.router.find(position.group);
  if (!found)
    return false;
  target_ = *found;
  has_target_ = true;
  gate_.router.begin(target_.id);
  call_.tried.push_back(target_.id);
  attempt_ = position.attempt;
  approach_ = approach::resume;
  return true;
}

void stream_relay::release_target() {
  if (std::exchange(has_target_, false))
    gate_.router.finish(target_.id);
}

std::string stream_relay::request_body() const {
  auto body = nlohmann::json::parse(call_.request.body);
  body["stream"] = true;
  if (approach_ == approach::continue_text)
    body["continue"] = {{"text", text_}, {"tokens", next_index_}};
  return body.dump();
}

net::client_request stream_relay::make_request() const {
  net::client_request request;
  request.address = target_.address;
  request.connect_timeout = connect_timeout;
  request.headers.add("Attempt-Id", attempt_);
  request.headers.add("Group", target_.id);
  request.headers.add("Group-Number", std::to_string(target_.number));
  if (approach_ == approach::resume) {
    request.target = "/v1/streams/" + attempt_ + "?from=" + std::to_string(next_index_);
    return request;
  }
  request.method = "POST";
  request.target = call_.path;
  request.headers.add("Content-Type", "application/json");
  request.headers.add("Priority", std::to_string(call_.priority));
  if (!call_.idempotency_key.empty())
    request.headers.add("Idempotency-Key", call_.idempotency_key);
  request.body = request_body();
  return request;
}

support::task<stream_relay::leg_end> stream_relay::run_leg() {
  leg_began_ = environment_.time.now();
  leg_index_ = approach_ == approach::regenerate ? 0 : next_index_;
  leg_hash_ = approach_ == approach::regenerate ? 0 : text_hash_;
  progressed_ = false;
  ++call_.attempts;
  environment_.observer.on_attempt(call_.labels);
  try {
    auto exchange = environment_.targets.open(make_request());
    const net::response_head head = co_await exchange->head(call_.document().first_byte_limit);
    if (head.status == 200)
      co_return co_await read_events(*exchange);
    const auto& not_run = call_.document().not_run_statuses;
    if (std::find(not_run.begin(), not_run.end(), head.status) != not_run.end())
      co_return leg_end::refused;
    if (approach_ == approach::start && head.status < 500) {
      rejection_ = {head.status, "rejected-by-engine", ""};
      co_await read_rejection(*exchange);
      co_return leg_end::rejected;
    }
    call_.may_have_run = true;
  } catch (const net::transport_error& error) {
    call_.may_have_run |= error.progress() == net::request_progress::may_have_been_read;
  }
  co_return leg_end::broken;
}

support::task<> stream_relay::read_rejection(net::http_exchange& exchange) {
  for (;;) {
    const std::optional<std::string> piece = co_await exchange.read(call_.document().stall_limit);
    if (!piece)
      co_return;
    rejection_.detail += *piece;
  }
}

support::task<stream_relay::leg_end> stream_relay::read_events(net::http_exchange& exchange) {
  net::sse_reader reader;
  for (;;) {
    while (std::optional<net::sse_event> event = reader.next()) {
      const leg_end end = co_await take_event(std::move(*event));
      if (end != leg_end::refused)
        co_return end;
    }
    const bool before_first = leg_index_ == next_index_ && !progressed_;
    const auto limit =
        before_first ? call_.document().first_byte_limit : call_.document().stall_limit;
    const std::optional<std::string> piece = co_await exchange.read(limit);
    if (!piece) {
      call_.may_have_run = true;
      co_return leg_end::broken;
    }
    reader.append(*piece);
  }
}

/// Checks one event and passes it on. `refused` stands for "go on reading".
support::task<stream_relay::leg_end> stream_relay::take_event(net::sse_event event) {
  if (event.data == net::end_of_stream)
    co_return finish_seen_ ? leg_end::finished : leg_end::broken;
  if (event.id != attempt_ + ":" + std::to_string(leg_index_)) {
    // Another stream's event, a repeated or a missing one: nothing on this
    // connection can be trusted.
    support::log_event(support::log_level::warning, "event_mismatch",
                       {{"target", target_.id}, {"expected", std::to_string(leg_index_)}});
    call_.may_have_run = true;
    co_return leg_end::broken;
  }
  const net::generation_event parsed = net::generation_event::parse(event.data);
  leg_hash_ = extend_hash(leg_hash_, parsed.text);
  const bool was_sent = leg_index_ < next_index_;
  ++leg_index_;
  if (was_sent) {
    if (leg_index_ == next_index_ && leg_hash_ != text_hash_) {
      rejection_ = {409, "stream-lost", "the stream cannot be continued with the same text"};
      co_return leg_end::rejected;
    }
    text_ += parsed.text;
    text_known_ = text_known_ || leg_index_ == next_index_;
    co_return leg_end::refused;
  }
  record_latency();
  text_ += parsed.text;
  text_hash_ = leg_hash_;
  finish_seen_ = parsed.is_last;
  call_.tokens += parsed.text.empty() ? 0 : 1;
  char hash[17];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(text_hash_));
  const stream_position position{
      call_.labels.organisation, call_.labels.service, target_.id, attempt_, next_index_, hash};
  ++next_index_;
  progressed_ = true;
  moves_ = 0;
  const bool taken = co_await sink_.event(sign_position(position, environment_.stream_key),
                                          std::move(event.data), parsed.text);
  co_return taken ? leg_end::refused : leg_end::caller_gone;
}

void stream_relay::record_latency() {
  const auto now = environment_.time.now();
  if (!progressed_ && approach_ != approach::resume)
    gate_.router.on_answer(target_.id, now - leg_began_);
  if (call_.tokens == 0)
    environment_.observer.on_first_token(call_.labels, now - call_.began);
  else
    environment_.observer.on_inter_token(call_.labels, now - last_token_at_);
  last_token_at_ = now;
}

bool stream_relay::choose_next_approach(leg_end end) {
  environment_.observer.on_resumed(call_.labels);
  // A broken connection is suspected first: the engine may still have the stream.
  const bool may_resume = end == leg_end::broken && call_.may_have_run &&
                          (approach_ != approach::resume || progressed_) &&
                          gate_.router.find(target_.id).has_value();
  const bool is_waiting_caller = environment_.time.now() < call_.deadline || call_.tokens > 0;
  if (!is_waiting_caller)
    return false;
  if (may_resume && leg_index_ >= next_index_) {
    approach_ = approach::resume;
    return true;
  }
  return move_to_other_group();
}

bool stream_relay::move_to_other_group() {
  if (call_.may_have_run) {
    if (!call_.idempotent)
      return false;
    cancel_at_target();
  }
  release_target();
  if (++moves_ > most_moves || !gate_.retries.take())
    return false;
  if (next_index_ == 0)
    approach_ = approach::start;
  else
    approach_ = text_known_ ? approach::continue_text : approach::regenerate;
  if (approach_ == approach::regenerate)
    text_.clear();
  return true;
}

static support::task<> send_cancel(targets::target_client& targets, net::client_request request) {
  auto exchange = targets.open(std::move(request));
  try {
    co_await exchange->head(cancel_timeout);
  } catch (const net::transport_error&) {
    // The engine drops a stream without a reader by itself.
  }
}

void stream_relay::cancel_at_target() {
  net::client_request request;
  request.method = "DELETE";
  request.address = target_.address;
  request.target = "/v1/streams/" + attempt_;
  request.connect_timeout = connect_timeout;
  support::spawn(environment_.executor, "cancel",
                 send_cancel(environment_.targets, std::move(request)));
}

support::task<request_outcome> stream_relay::give_up() {
  const request_outcome outcome =
      call_.may_have_run ? request_outcome::unknown : request_outcome::not_run;
  co_await sink_.fail(call_.may_have_run ? 502 : 503, outcome, "no-answer",
                      "no group could finish the answer", std::chrono::seconds(1));
  co_return outcome;
}

} // namespace camphorlug::requests
