#include "camphorlug/requests/forwarder.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/requests/outcome_response.h"

#include <algorithm>
#include <strings.h>

namespace camphorlug::requests {

static constexpr std::size_t max_attempts = 3;
static constexpr std::chrono::milliseconds connect_timeout{500};

/// Whether a header is not forwarded: it applies to one connection only, carries
/// the caller's key, or is set by this node for each attempt.
static bool is_stripped_header(const std::string& name) {
  static constexpr const char* names[] = {"Connection",       "Keep-Alive", "Transfer-Encoding",
                                          "Content-Length",   "Host",       "Authorization",
                                          "Attempt-Id",       "Group",      "Group-Number",
                                          "Priority",         "Upgrade",    "TE",
                                          "Proxy-Connection", "Expect"};
  return std::any_of(std::begin(names), std::end(names),
                     [&name](const char* each) { return strcasecmp(each, name.c_str()) == 0; });
}

forwarder::forwarder(request_environment& environment, service_state& state, call& current)
    : environment_(environment), service_state_(state), call_(current) {}

bool forwarder::acquire_retry() {
  if (call_.may_have_run && !call_.idempotent)
    return false;
  if (call_.attempts >= max_attempts || environment_.time.now() >= call_.deadline)
    return false;
  return service_state_.retries.try_consume();
}

support::task<request_outcome> forwarder::run() {
  for (;;) {
    const auto target = service_state_.router.pick(call_.affinity, call_.tried);
    if (!target)
      break;
    ++call_.attempts;
    call_.tried.push_back(target->id);
    environment_.observer.on_attempt(call_.labels);
    std::exception_ptr failure;
    attempt_result result = attempt_result::retry;
    try {
      result = co_await attempt(*target, environment_.random.identifier());
    } catch (...) {
      failure = std::current_exception();
    }
    service_state_.router.release_slot(target->id);
    if (failure)
      std::rethrow_exception(failure);
    if (result == attempt_result::answered)
      co_return request_outcome::answered;
    if (!acquire_retry())
      break;
  }
  if (server_error_) {
    // No further attempt gave a better response than the target's own.
    response_ = std::move(server_error_);
    co_return request_outcome::answered;
  }
  co_return outcome_without_response();
}

request_outcome forwarder::outcome_without_response() const {
  return call_.may_have_run ? request_outcome::unknown : request_outcome::not_run;
}

support::task<net::client_response> forwarder::exchange(groups::routable_target target,
                                                        std::string attempt_id) {
  net::client_request request;
  request.method = call_.request.method;
  request.address = target.address;
  request.target = call_.path;
  if (!call_.request.query.empty())
    request.target += "?" + call_.request.query;
  for (const net::header& each : call_.request.headers) {
    if (!is_stripped_header(each.name))
      request.headers.add(each.name, each.value);
  }
  request.headers.add("Attempt-Id", attempt_id);
  request.headers.add("Priority", std::to_string(call_.priority));
  if (target.number != 0) {
    request.headers.add("Group", target.id);
    request.headers.add("Group-Number", std::to_string(target.number));
  }
  request.body = call_.request.body;
  request.connect_timeout = connect_timeout;
  const auto left = call_.deadline - environment_.time.now();
  request.limits = net::response_limits::bulk();
  request.limits.duration = left;
  auto exchange = environment_.targets.open(std::move(request));
  // A model's response begins only when the whole generation is complete, so
  // `first_byte_limit` does not apply.
  const bool serves_model = call_.document().model.has_value();
  const std::chrono::nanoseconds limit =
      serves_model ? left
                   : std::min<std::chrono::nanoseconds>(left, call_.document().first_byte_limit);
  net::response_head head = co_await exchange->head(limit);
  net::client_response response{head.status, std::move(head.headers), {}};
  for (;;) {
    std::optional<std::string> chunk = co_await exchange->read(call_.document().stall_limit);
    if (!chunk)
      break;
    response.body += *chunk;
  }
  co_return response;
}

support::task<forwarder::attempt_result> forwarder::attempt(groups::routable_target target,
                                                            std::string attempt_id) {
  const auto began = environment_.time.now();
  net::client_response response;
  try {
    response = co_await exchange(target, attempt_id);
  } catch (const net::transport_error& error) {
    service_state_.router.on_failure(target.id);
    call_.may_have_run |= error.progress() == net::request_progress::may_have_been_read;
    co_return attempt_result::retry;
  }
  const auto& not_run = call_.document().not_run_statuses;
  if (std::find(not_run.begin(), not_run.end(), response.status) != not_run.end()) {
    service_state_.router.on_failure(target.id);
    co_return attempt_result::retry;
  }
  const bool belongs_to_attempt = !call_.document().echoes_attempt_id ||
                                  response.headers.find("Attempt-Id").value_or("") == attempt_id ||
                                  response.status >= 400;
  if (!belongs_to_attempt) {
    // The response belongs to another request; this one may or may not have run.
    service_state_.router.on_failure(target.id);
    call_.may_have_run = true;
    co_return attempt_result::retry;
  }
  const bool is_server_error = response.status >= 500;
  // A quick 5xx must not attract further requests, so it does not count as a response.
  if (is_server_error)
    service_state_.router.on_failure(target.id);
  else
    service_state_.router.on_response(target.id, environment_.time.now() - began);
  if (is_server_error && call_.idempotent) {
    call_.may_have_run = true;
    server_error_ = std::move(response);
    co_return attempt_result::retry;
  }
  response_ = std::move(response);
  co_return attempt_result::answered;
}

void forwarder::send_response(net::response_writer& writer) {
  if (!response_) {
    const std::chrono::seconds retry_after(call_.may_have_run && !call_.idempotent ? 0 : 1);
    send_outcome(writer, call_.may_have_run ? 502 : 503, outcome_without_response(), "no-answer",
                 "no target gave a whole answer", retry_after);
    return;
  }
  net::header_list headers;
  for (const net::header& each : response_->headers) {
    if (!is_stripped_header(each.name))
      headers.add(each.name, each.value);
  }
  writer.send(response_->status, std::move(headers), std::move(response_->body));
}

recorded_response forwarder::response() const {
  if (!response_)
    return {};
  return {response_->status, response_->headers.find("Content-Type").value_or(""), response_->body};
}

} // namespace camphorlug::requests
