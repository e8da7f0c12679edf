#include "camphorlug/caller/reference_caller.h"

#include "camphorlug/net/generation_event.h"
#include "camphorlug/net/sse_reader.h"
#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <ctime>

namespace camphorlug::caller {

static constexpr std::size_t max_attempts = 6;
/// Time without data after which a stream is resumed at another node.
static constexpr std::chrono::seconds stream_idle_timeout{10};
static constexpr std::chrono::milliseconds pause_before_retry{50};

/// The state of a request that is kept across its attempts.
struct reference_caller::request_state {
  caller_result result;
  std::string address;
  std::string last_event_id;
  support::clock::time_point started_at;
  support::clock::time_point last_event_at;
  text_listener on_text;
};

/// Parses a number of seconds or an HTTP date. Returns 0 for what is neither, as if there were no
/// Retry-After.
static std::chrono::seconds parse_retry_after(const std::string& value, support::clock& time) {
  std::uint32_t seconds = 0;
  const char* end = value.data() + value.size();
  const auto read = std::from_chars(value.data(), end, seconds);
  if (read.ec == std::errc() && read.ptr == end)
    return std::chrono::seconds(seconds);
  std::tm parts{};
  if (!strptime(value.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts))
    return std::chrono::seconds(0);
  const auto until = std::chrono::system_clock::from_time_t(timegm(&parts));
  const auto left = std::chrono::ceil<std::chrono::seconds>(until - time.wall_time());
  return std::max(left, std::chrono::seconds(0));
}

reference_caller::reference_caller(net::http_client& client, support::clock& time,
                                   entry_cache& entries)
    : client_(client), time_(time), entries_(entries) {}

net::client_request reference_caller::make_request(const caller_request& request,
                                                   const request_state& state) const {
  net::client_request sent;
  sent.method = request.method;
  sent.address = state.address;
  sent.target = request.target;
  sent.body = request.body;
  sent.limits = net::response_limits::generation();
  sent.headers.add("Authorization", "Bearer " + request.key);
  sent.headers.add("Content-Type", "application/json");
  if (!request.class_name.empty())
    sent.headers.add("Camphorlug-Class", request.class_name);
  if (!request.idempotency_key.empty())
    sent.headers.add("Idempotency-Key", request.idempotency_key);
  if (!request.idempotent)
    sent.headers.add("Camphorlug-Idempotent", "false");
  if (!state.last_event_id.empty())
    sent.headers.add("Last-Event-ID", state.last_event_id);
  return sent;
}

support::task<caller_result> reference_caller::send(caller_request request, text_listener on_text) {
  request_state state;
  state.started_at = time_.now();
  state.on_text = std::move(on_text);
  attempt_result outcome = attempt_result::retry;
  while (outcome == attempt_result::retry && state.result.attempts < max_attempts &&
         time_.now() - state.started_at < request.timeout) {
    const std::optional<std::string> address = co_await entries_.address();
    if (!address)
      break;
    state.address = *address;
    ++state.result.attempts;
    outcome = co_await attempt_once(request, state);
    if (outcome == attempt_result::retry)
      co_await time_.sleep_for(pause_before_retry);
  }
  state.result.total = time_.now() - state.started_at;
  co_return std::move(state.result);
}

support::task<reference_caller::attempt_result>
reference_caller::attempt_once(const caller_request& request, request_state& state) {
  caller_result& result = state.result;
  try {
    auto exchange = client_.open(make_request(request, state));
    const net::response_head head = co_await exchange->head(request.timeout);
    result.status = head.status;
    result.outcome = head.headers.find("Camphorlug-Outcome").value_or("");
    result.retry_after = parse_retry_after(head.headers.find("Retry-After").value_or(""), time_);
    if (request.stream && head.status == 200)
      co_return co_await read_stream(*exchange, request, state);
    const net::client_response response = co_await client_.collect(*exchange, request.timeout);
    (result.outcome.empty() ? result.body : result.problem) = response.body;
    result.complete = head.status == 200;
    // A node that is isolated refuses requests that other nodes may be able to serve.
    if (head.status == 503 && result.outcome == "not-run") {
      entries_.remove(state.address);
      co_return attempt_result::retry;
    }
    co_return attempt_result::finished;
  } catch (const net::transport_error& error) {
    entries_.remove(state.address);
    const bool safe_to_retry =
        request.idempotent || error.progress() == net::request_progress::not_sent;
    if (!safe_to_retry)
      result.outcome = "unknown";
    co_return safe_to_retry ? attempt_result::retry : attempt_result::give_up;
  }
}

support::task<reference_caller::attempt_result>
reference_caller::read_stream(net::http_exchange& exchange, const caller_request& request,
                              request_state& state) {
  net::sse_reader reader;
  for (;;) {
    while (std::optional<net::sse_event> event = reader.next()) {
      if (event->data == net::end_of_stream) {
        state.result.complete = true;
        co_return attempt_result::finished;
      }
      if (event->id.empty())
        co_return request.idempotent ? attempt_result::retry : attempt_result::give_up;
      state.last_event_id = event->id;
      const std::string text = net::generation_event::parse(event->data).text;
      if (text.empty())
        continue;
      const auto now = time_.now();
      if (state.result.tokens == 0)
        state.result.first_token = now - state.started_at;
      else
        state.result.token_gaps.push_back(now - state.last_event_at);
      state.last_event_at = now;
      ++state.result.tokens;
      state.result.body += text;
      if (state.on_text)
        state.on_text(text);
    }
    const std::optional<std::string> chunk = co_await exchange.read(stream_idle_timeout);
    if (!chunk)
      co_return request.idempotent ? attempt_result::retry : attempt_result::give_up;
    reader.append(*chunk);
  }
}

} // namespace camphorlug::caller
