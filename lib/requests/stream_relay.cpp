#include "camphorlug/requests/stream_relay.h"

#include "camphorlug/net/generation_event.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/requests/outcome_response.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/support/json_text.h"
#include "camphorlug/support/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::requests {

/// Maximum number of failovers to another group without an event in between.
static constexpr std::size_t max_failovers = 2;
static constexpr std::chrono::milliseconds connect_timeout{500};
static constexpr std::chrono::milliseconds cancel_timeout{500};

static std::uint64_t extend_hash(std::uint64_t hash, const std::string& text) {
  return support::fast_hash(text, hash);
}

stream_relay::stream_relay(request_environment& environment, service_state& state, call& current,
                           stream_sink& sink)
    : environment_(environment), service_state_(state), call_(current), sink_(sink) {}

support::task<request_outcome> stream_relay::run() {
  std::exception_ptr failure;
  request_outcome outcome = request_outcome::unknown;
  try {
    outcome = co_await relay_until_end();
  } catch (...) {
    failure = std::current_exception();
  }
  release_target();
  if (failure)
    std::rethrow_exception(failure);
  co_return outcome;
}

support::task<request_outcome> stream_relay::relay_until_end() {
  if (call_.resume_after && !locate_resumed_stream())
    fetch_mode_ = fetch_mode::regenerate;
  for (;;) {
    if (!has_target_ && !acquire_target())
      break;
    const upstream_result result = co_await relay_upstream();
    if (result == upstream_result::finished) {
      release_target();
      co_await sink_.done();
      co_return request_outcome::answered;
    }
    if (result == upstream_result::caller_gone) {
      // The engine keeps the stream for a limited time, so that the caller can resume it.
      release_target();
      co_return request_outcome::abandoned;
    }
    if (result == upstream_result::rejected) {
      release_target();
      co_await sink_.fail(rejection_.status, request_outcome::rejected, rejection_.type,
                          rejection_.detail, std::chrono::seconds(0));
      co_return request_outcome::rejected;
    }
    service_state_.router.on_failure(target_.id);
    if (!prepare_next_connection(result))
      break;
  }
  release_target();
  co_return co_await give_up();
}

bool stream_relay::acquire_target() {
  const auto chosen = service_state_.router.pick(call_.affinity, call_.tried);
  if (!chosen)
    return false;
  target_ = *chosen;
  has_target_ = true;
  call_.tried.push_back(target_.id);
  attempt_ = environment_.random.identifier();
  return true;
}

/// Selects the stream that the caller's Last-Event-ID names, at the group that runs
/// it. Returns false if that group is not routable.
bool stream_relay::locate_resumed_stream() {
  const stream_position& position = *call_.resume_after;
  next_index_ = position.index + 1;
  text_known_ = false;
  text_hash_ = std::strtoull(position.text_hash.c_str(), nullptr, 16);
  const auto found = service_state_.router.find(position.group);
  if (!found)
    return false;
  target_ = *found;
  has_target_ = true;
  service_state_.router.acquire_slot(target_.id);
  call_.tried.push_back(target_.id);
  attempt_ = position.attempt;
  fetch_mode_ = fetch_mode::resume;
  return true;
}

void stream_relay::release_target() {
  if (std::exchange(has_target_, false))
    service_state_.router.release_slot(target_.id);
}

std::string stream_relay::request_body() const {
  auto body = nlohmann::json::parse(call_.request.body);
  body["stream"] = true;
  if (fetch_mode_ == fetch_mode::continue_text)
    body["continue"] = {{"text", text_}, {"tokens", next_index_}};
  return support::to_json_text(body);
}

net::client_request stream_relay::make_request() const {
  net::client_request request;
  request.address = target_.address;
  request.connect_timeout = connect_timeout;
  request.limits = net::response_limits::generation();
  request.headers.add("Attempt-Id", attempt_);
  request.headers.add("Group", target_.id);
  request.headers.add("Group-Number", std::to_string(target_.number));
  if (fetch_mode_ == fetch_mode::resume) {
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

support::task<stream_relay::upstream_result> stream_relay::relay_upstream() {
  upstream_began_ = environment_.time.now();
  upstream_index_ = fetch_mode_ == fetch_mode::regenerate ? 0 : next_index_;
  upstream_hash_ = fetch_mode_ == fetch_mode::regenerate ? 0 : text_hash_;
  progressed_ = false;
  ++call_.attempts;
  environment_.observer.on_attempt(call_.labels);
  if (std::exchange(follows_failure_, true))
    environment_.observer.on_resumed(call_.labels);
  try {
    auto exchange = environment_.targets.open(make_request());
    const net::response_head head = co_await exchange->head(call_.document().first_byte_limit);
    if (head.status == 200)
      co_return co_await read_events(*exchange);
    const auto& not_run = call_.document().not_run_statuses;
    if (std::find(not_run.begin(), not_run.end(), head.status) != not_run.end())
      co_return upstream_result::refused;
    if (fetch_mode_ == fetch_mode::start && head.status < 500) {
      rejection_ = {head.status, "rejected-by-engine", ""};
      co_await read_rejection(*exchange);
      co_return upstream_result::rejected;
    }
    call_.may_have_run = true;
  } catch (const net::transport_error& error) {
    call_.may_have_run |= error.progress() == net::request_progress::may_have_been_read;
  }
  co_return upstream_result::broken;
}

support::task<> stream_relay::read_rejection(net::http_exchange& exchange) {
  for (;;) {
    const std::optional<std::string> chunk = co_await exchange.read(call_.document().stall_limit);
    if (!chunk)
      co_return;
    rejection_.detail += *chunk;
  }
}

support::task<stream_relay::upstream_result>
stream_relay::read_events(net::http_exchange& exchange) {
  net::sse_reader reader;
  for (;;) {
    while (std::optional<net::sse_event> event = reader.next()) {
      const upstream_result result = co_await handle_event(std::move(*event));
      if (result != upstream_result::refused)
        co_return result;
    }
    const bool awaits_first_event = upstream_index_ == next_index_ && !progressed_;
    const auto limit =
        awaits_first_event ? call_.document().first_byte_limit : call_.document().stall_limit;
    const std::optional<std::string> chunk = co_await exchange.read(limit);
    if (!chunk) {
      call_.may_have_run = true;
      co_return upstream_result::broken;
    }
    reader.append(*chunk);
  }
}

/// Checks one event and sends it to the caller. Returns `refused` if the connection
/// is to be read further; it does not mean a refusal here.
support::task<stream_relay::upstream_result> stream_relay::handle_event(net::sse_event event) {
  if (event.data == net::end_of_stream)
    co_return finish_seen_ ? upstream_result::finished : upstream_result::broken;
  if (event.id != attempt_ + ":" + std::to_string(upstream_index_)) {
    // The event belongs to another stream, is repeated, or follows a missing one.
    // Nothing else on this connection can be trusted.
    support::log_event(support::log_level::warning, "event_mismatch",
                       {{"target", target_.id}, {"expected", std::to_string(upstream_index_)}});
    call_.may_have_run = true;
    co_return upstream_result::broken;
  }
  const net::generation_event parsed = net::generation_event::parse(event.data);
  upstream_hash_ = extend_hash(upstream_hash_, parsed.text);
  const bool was_sent = upstream_index_ < next_index_;
  ++upstream_index_;
  if (was_sent) {
    if (upstream_index_ == next_index_ && upstream_hash_ != text_hash_) {
      rejection_ = {409, "stream-lost", "the stream cannot be continued with the same text"};
      co_return upstream_result::rejected;
    }
    text_ += parsed.text;
    text_known_ = text_known_ || upstream_index_ == next_index_;
    co_return upstream_result::refused;
  }
  record_latency();
  text_ += parsed.text;
  text_hash_ = upstream_hash_;
  finish_seen_ = parsed.is_last;
  call_.tokens += parsed.text.empty() ? 0 : 1;
  char hash[17];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(text_hash_));
  const stream_position position{
      call_.labels.organisation, call_.labels.service, target_.id, attempt_, next_index_, hash};
  ++next_index_;
  progressed_ = true;
  failovers_ = 0;
  cancel_superseded();
  const bool delivered = co_await sink_.event(sign_position(position, environment_.stream_key),
                                              std::move(event.data), parsed.text);
  co_return delivered ? upstream_result::refused : upstream_result::caller_gone;
}

void stream_relay::record_latency() {
  const auto now = environment_.time.now();
  if (!progressed_ && fetch_mode_ != fetch_mode::resume)
    service_state_.router.on_response(target_.id, now - upstream_began_);
  if (call_.tokens == 0)
    environment_.observer.on_first_token(call_.labels, now - call_.began);
  else
    environment_.observer.on_inter_token(call_.labels, now - last_token_at_);
  last_token_at_ = now;
}

/// Resumes at the same target or fails over. Returns false if the stream cannot be
/// continued.
bool stream_relay::prepare_next_connection(upstream_result result) {
  // The engine may still have the stream after a broken connection, so resume it
  // there before failing over.
  const bool may_resume = result == upstream_result::broken && call_.may_have_run &&
                          (fetch_mode_ != fetch_mode::resume || progressed_) &&
                          service_state_.router.find(target_.id).has_value();
  // The deadline applies only until the first token.
  const bool is_within_deadline = environment_.time.now() < call_.deadline || call_.tokens > 0;
  if (!is_within_deadline)
    return false;
  if (may_resume && upstream_index_ >= next_index_) {
    fetch_mode_ = fetch_mode::resume;
    return true;
  }
  return fail_over();
}

bool stream_relay::fail_over() {
  if (call_.may_have_run && !call_.idempotent)
    return false;
  if (++failovers_ > max_failovers || !service_state_.retries.try_consume())
    return false;
  if (call_.may_have_run)
    superseded_.push_back({target_.address, attempt_});
  release_target();
  if (next_index_ == 0)
    fetch_mode_ = fetch_mode::start;
  else
    fetch_mode_ = text_known_ ? fetch_mode::continue_text : fetch_mode::regenerate;
  if (fetch_mode_ == fetch_mode::regenerate)
    text_.clear();
  return true;
}

static support::task<> send_cancel(targets::target_client& targets, net::client_request request) {
  auto exchange = targets.open(std::move(request));
  try {
    co_await exchange->head(cancel_timeout);
  } catch (const net::transport_error&) {
    // The engine discards a stream without a reader by itself.
  }
}

/// Called when another attempt has sent an event. Until then the caller may have to resume one of
/// the earlier ones.
void stream_relay::cancel_superseded() {
  for (const superseded_stream& each : std::exchange(superseded_, {})) {
    net::client_request request;
    request.method = "DELETE";
    request.address = each.address;
    request.target = "/v1/streams/" + each.attempt;
    request.connect_timeout = connect_timeout;
    support::spawn(environment_.executor, "cancel",
                   send_cancel(environment_.targets, std::move(request)));
  }
}

support::task<request_outcome> stream_relay::give_up() {
  const request_outcome outcome =
      call_.may_have_run ? request_outcome::unknown : request_outcome::not_run;
  co_await sink_.fail(call_.may_have_run ? 502 : 503, outcome, "no-answer",
                      "no group could finish the answer", std::chrono::seconds(1));
  co_return outcome;
}

} // namespace camphorlug::requests
