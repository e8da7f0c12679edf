#include "camphorlug/requests/request_service.h"

#include "camphorlug/requests/buffered_response_sink.h"
#include "camphorlug/requests/caller_error.h"
#include "camphorlug/requests/event_stream_sink.h"
#include "camphorlug/requests/forwarder.h"
#include "camphorlug/requests/outcome_response.h"
#include "camphorlug/requests/stream_relay.h"
#include "camphorlug/support/digest.h"
#include "camphorlug/support/log.h"
#include "camphorlug/support/notification.h"

#include <memory>

namespace camphorlug::requests {

/// Interval at which waiting requests are dispatched even if no request finishes.
static constexpr std::chrono::milliseconds dispatch_interval{50};
static constexpr std::chrono::seconds short_retry_delay{1};
/// A response waits at most this long for its record in the store.
static constexpr std::chrono::milliseconds max_settling_wait{500};

request_service::request_service(request_environment environment,
                                 const documents::document_view& documents,
                                 groups::group_view& groups, const routing::target_picker& picker,
                                 std::set<std::string> near_data_centres,
                                 std::function<bool()> accepts_work)
    : environment_(std::move(environment)),
      parser_(documents, environment_.time, environment_.stream_key), groups_(groups),
      picker_(picker), near_data_centres_(std::move(near_data_centres)),
      accepts_work_(std::move(accepts_work)) {}

service_state& request_service::state_for(const documents::active_document& in_force) {
  std::unique_ptr<service_state>& state = service_states_[in_force.document.service];
  if (!state)
    state = std::make_unique<service_state>(
        routing::service_router(in_force.document.service, groups_, picker_, environment_.time,
                                environment_.random, near_data_centres_),
        environment_.time, environment_.random);
  if (state->configured_version != in_force.version.number) {
    state->configured_version = in_force.version.number;
    state->router.configure(in_force.document);
    state->queue.configure(in_force.document);
  }
  return *state;
}

static void log_finished(const call& ended, request_outcome outcome,
                         std::chrono::nanoseconds duration) {
  support::log_event(support::log_level::info, "request",
                     {{"request", ended.id},
                      {"organisation", ended.labels.organisation},
                      {"service", ended.labels.service},
                      {"class", ended.labels.class_name},
                      {"path", ended.path},
                      {"outcome", to_string(outcome)},
                      {"attempts", std::to_string(ended.attempts)},
                      {"milliseconds", std::to_string(duration / std::chrono::milliseconds(1))}});
}

support::task<> request_service::handle(net::server_request request, net::response_writer& writer) {
  if (!accepts_work_()) {
    send_outcome(writer, 503, request_outcome::not_run, "node-isolated",
                 "this node is cut off; ask another entry", short_retry_delay);
    co_return;
  }
  call current;
  std::optional<net::problem> refusal;
  try {
    current = parser_.parse(std::move(request));
  } catch (const caller_error& error) {
    refusal = error.problem();
  }
  if (refusal) {
    send_outcome(writer, refusal->status, request_outcome::not_run, refusal->type, refusal->detail,
                 std::chrono::seconds(0));
    co_return;
  }
  current.id = environment_.random.identifier();
  const request_outcome outcome = co_await serve(current, writer);
  const auto duration = environment_.time.now() - current.began;
  environment_.observer.on_finished(current.labels, outcome, duration);
  log_finished(current, outcome, duration);
}

support::task<request_outcome> request_service::serve(call& current, net::response_writer& writer) {
  service_state& state = state_for(*current.in_force);
  state.retries.on_request();
  if (state.router.total_slots() == 0) {
    send_outcome(writer, 503, request_outcome::not_run, "no-target",
                 "no target can take the request now", short_retry_delay);
    co_return request_outcome::not_run;
  }
  const admission::admission_result admitted = co_await state.queue.enter(current.admission);
  environment_.observer.on_queued(current.labels, admitted.waited);
  if (!admitted.granted) {
    send_outcome(writer, 429, request_outcome::not_run, "overloaded", admitted.reason,
                 admitted.retry_after);
    co_return request_outcome::not_run;
  }
  std::exception_ptr failure;
  request_outcome outcome = request_outcome::unknown;
  try {
    outcome = co_await run(current, state, writer);
  } catch (...) {
    failure = std::current_exception();
  }
  const double unused = current.admission.cost - static_cast<double>(current.tokens);
  const bool counts_tokens = current.relayed && outcome == request_outcome::answered;
  state.queue.finish(current.admission, counts_tokens
                                            ? current.admission.cost - std::max(0.0, unused)
                                            : current.admission.cost);
  if (failure)
    std::rethrow_exception(failure);
  co_return outcome;
}

support::task<request_outcome> request_service::run(call& current, service_state& state,
                                                    net::response_writer& writer) {
  if (!current.idempotent && !current.idempotency_key.empty())
    co_return co_await run_claimed(current, state, writer);
  if (current.relayed)
    co_return co_await relay(current, state, writer);
  forwarder forward(environment_, state, current);
  const request_outcome outcome = co_await forward.run();
  forward.send_response(writer);
  co_return outcome;
}

support::task<request_outcome> request_service::relay(call& current, service_state& state,
                                                      net::response_writer& writer) {
  if (current.wants_stream) {
    event_stream_sink sink(writer);
    stream_relay relay(environment_, state, current, sink);
    co_return co_await relay.run();
  }
  buffered_response_sink sink(writer, current.chat);
  stream_relay relay(environment_, state, current, sink);
  co_return co_await relay.run();
}

/// Responds to a request whose idempotency key another request has claimed.
static request_outcome respond_from_claim(const claim_result& result,
                                          net::response_writer& writer) {
  switch (result.state) {
  case claim_state::answered: {
    net::header_list headers;
    headers.add("Content-Type", result.response.content_type);
    headers.add("Camphorlug-Replayed", "true");
    writer.send(result.response.status, std::move(headers), result.response.body);
    return request_outcome::answered;
  }
  case claim_state::mismatch:
    send_outcome(writer, 422, request_outcome::not_run, "key-reused",
                 "this Idempotency-Key came with another content before; use a new one",
                 std::chrono::seconds(0));
    return request_outcome::not_run;
  case claim_state::unavailable:
    send_outcome(writer, 503, request_outcome::not_run, "store-down",
                 "the key could not be claimed, so the request was not sent", short_retry_delay);
    return request_outcome::not_run;
  case claim_state::running:
    send_outcome(writer, 409, request_outcome::unknown, "key-in-use",
                 "a request with this key is in progress or was cut off", short_retry_delay);
    return request_outcome::unknown;
  case claim_state::owned:
  case claim_state::unknown:
    break;
  }
  send_outcome(writer, 502, request_outcome::unknown, "outcome-unknown",
               "an earlier request with this key may have run", std::chrono::seconds(0));
  return request_outcome::unknown;
}

static support::task<> settle(claim_store& claims, claim held, request_outcome outcome,
                              recorded_response response,
                              std::shared_ptr<support::notification> settled) {
  if (outcome == request_outcome::not_run)
    co_await claims.release(std::move(held));
  else
    co_await claims.record_response(std::move(held), std::move(response));
  settled->notify();
}

/// The caller may repeat the request as soon as it has its response, so the claim is settled
/// before. A slow store delays the response only for a limited time.
support::task<> request_service::settle_claim(claim held, request_outcome outcome,
                                              recorded_response response) {
  const auto settled = std::make_shared<support::notification>(environment_.time);
  support::spawn(
      environment_.executor, "settle_claim",
      settle(environment_.claims, std::move(held), outcome, std::move(response), settled));
  co_await settled->wait_for(max_settling_wait);
}

support::task<request_outcome> request_service::run_claimed(call& current, service_state& state,
                                                            net::response_writer& writer) {
  const claim wanted{current.labels.organisation, current.labels.service, current.idempotency_key,
                     support::sha256_hex(current.path + "\n" + current.request.body),
                     environment_.random.identifier()};
  const claim_result result = co_await environment_.claims.acquire(wanted);
  if (result.state != claim_state::owned)
    co_return respond_from_claim(result, writer);
  if (environment_.time.now() >= current.deadline) {
    co_await environment_.claims.release(wanted);
    send_outcome(writer, 503, request_outcome::not_run, "store-slow",
                 "the deadline passed before the key was claimed", short_retry_delay);
    co_return request_outcome::not_run;
  }
  // Forwarded as a whole rather than relayed, so that its response can be recorded.
  forwarder forward(environment_, state, current);
  const request_outcome outcome = co_await forward.run();
  co_await settle_claim(wanted, outcome, forward.response());
  forward.send_response(writer);
  co_return outcome;
}

support::task<> request_service::run_dispatch_loop() {
  for (;;) {
    co_await environment_.time.sleep_for(dispatch_interval);
    for (auto& [service, state] : service_states_)
      state->queue.dispatch_waiting();
  }
}

std::size_t request_service::waiting() const {
  std::size_t count = 0;
  for (const auto& [service, state] : service_states_)
    count += state->queue.waiting();
  return count;
}

} // namespace camphorlug::requests
