#include "camphorlug/gateway/request_relay.h"

#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphorlug::gateway {

using std::chrono::nanoseconds;

/// For nodes that do not know their processor share.
static constexpr std::size_t min_in_progress = 32;

/// All requests of peers together get the share of one organisation.
static constexpr const char* memory_holder = "peers";
/// What a request takes beside its body; pieces of its response are passed on one by one.
static constexpr std::size_t request_overhead_bytes = 80 * 1024;

/// Headers that concern only one connection; both sides make their own.
static constexpr std::array connection_headers{"Connection", "Keep-Alive", "Transfer-Encoding",
                                               "Content-Length", "Expect"};

static bool is_connection_header(std::string_view name) {
  return std::any_of(connection_headers.begin(), connection_headers.end(),
                     [&](const char* each) { return net::same_header_name(name, each); });
}

/// Headers that a relay sends to its asker, and that it must not pass on from a target.
static bool is_relay_header(std::string_view name) {
  return net::same_header_name(name, relay_failure_header) ||
         net::same_header_name(name, relay_confirms_end_header);
}

static net::header_list without_connection_headers(const net::header_list& headers) {
  net::header_list kept;
  for (const net::header& each : headers) {
    if (!is_connection_header(each.name) && !is_relay_header(each.name))
      kept.add(each.name, each.value);
  }
  return kept;
}

static void send_failure(net::response_writer& writer, std::string_view reason,
                         bool unreadable = false) {
  net::header_list headers;
  headers.add(std::string(relay_failure_header), std::string(reason));
  if (unreadable)
    headers.add(std::string(relay_unreadable_header), "1");
  writer.send(502, std::move(headers), "");
}

namespace {

class counted_request {
public:
  explicit counted_request(std::size_t& count) : count_(count) { ++count_; }
  ~counted_request() { --count_; }
  counted_request(const counted_request&) = delete;
  counted_request& operator=(const counted_request&) = delete;

private:
  std::size_t& count_;
};

} // namespace

request_relay::request_relay(support::clock& time, net::http_client& client,
                             const caller_protocol& protocol, const target_registry& registry,
                             const slot_queue& queue, path_monitor& paths, double cores,
                             support::memory_budget& memory, target_liveness& liveness)
    : time_(time), client_(client), protocol_(protocol), registry_(registry), queue_(queue),
      paths_(paths), memory_(memory), liveness_(liveness),
      max_in_progress_(
          std::max(min_in_progress, static_cast<std::size_t>(cores * max_in_progress_per_core))) {}

bool request_relay::accepts_requests(const relay_parameters& parameters) const {
  const target_entry* entry = registry_.find(parameters.start.target);
  return entry && entry->started_at_ms == parameters.start.started_at_ms &&
         entry->address == parameters.address &&
         queue_.accepts_requests(
             {entry->id, entry->address, entry->slots, 0, entry->started_at_ms});
}

net::client_request request_relay::make_request(const relay_parameters& parameters,
                                                net::server_request request) const {
  net::client_request outgoing;
  outgoing.method = parameters.method;
  outgoing.address = parameters.address;
  outgoing.target = parameters.target;
  outgoing.headers = without_connection_headers(request.headers);
  outgoing.body = std::move(request.body);
  outgoing.connection = parameters.connection;
  outgoing.limits = net::response_limits::passed_on();
  outgoing.send_if = [this, parameters] { return accepts_requests(parameters); };
  net::server_request head;
  head.method = parameters.method;
  head.path = parameters.target;
  head.headers = outgoing.headers;
  outgoing.accept_head = [this, sent = protocol_.parse_request(std::move(head))](const auto& each) {
    return protocol_.parse_response_head(sent, each).valid;
  };
  return outgoing;
}

support::task<> request_relay::handle(net::server_request request, net::response_writer& writer) {
  const std::optional<relay_parameters> parameters = parse_relay_path(request.target);
  if (!parameters) {
    net::send_problem(writer, {400, "bad-relay-path", "see relay_path.h"});
    co_return;
  }
  const target_entry* entry = registry_.find(parameters->start.target);
  if (in_progress_ >= max_in_progress_ || (entry && paths_.has_lost(entry->service))) {
    send_failure(writer, relay_failure_busy);
    co_return;
  }
  support::memory_budget::charge memory(memory_, memory_holder);
  if (!memory.try_add(request_overhead_bytes + request.body.size())) {
    send_failure(writer, relay_failure_busy);
    co_return;
  }
  const counted_request counted(in_progress_);
  if (!entry || !accepts_requests(*parameters)) {
    send_failure(writer, relay_failure_not_sent);
    co_return;
  }
  const auto deadline = time_.now() + parameters->time_left;
  const std::unique_ptr<net::http_exchange> exchange =
      client_.open(make_request(*parameters, std::move(request)));
  writer.on_disconnect([&exchange] { exchange->cancel(); });
  const bool is_repeatable = parameters->connection == net::connection_use::pooled;
  path_monitor::wait wait(paths_, entry->service, entry->id, [&exchange, is_repeatable] {
    if (is_repeatable)
      exchange->cancel();
  });
  const target_entry target = *entry;
  std::optional<net::transport_error> failure;
  try {
    co_await pass_on(*exchange, writer, wait, target, deadline);
  } catch (const net::transport_error& error) {
    failure = error;
  }
  if (!failure)
    co_return;
  if (writer.started())
    writer.abort();
  else if (failure->progress() == net::request_progress::not_sent)
    send_failure(writer, accepts_requests(*parameters) ? relay_failure_no_connection
                                                       : relay_failure_not_sent);
  else
    send_failure(writer, relay_failure_unknown, failure->unreadable());
}

support::task<> request_relay::pass_on(net::http_exchange& exchange, net::response_writer& writer,
                                       path_monitor::wait& wait, target_entry target,
                                       support::clock::time_point deadline) {
  const net::response_head head = co_await exchange.head(deadline - time_.now());
  wait.record_answer();
  net::header_list headers = without_connection_headers(head.headers);
  headers.add(std::string(relay_confirms_end_header), "1");
  const bool has_body = head.status != 204 && head.status != 304;
  if (has_body)
    writer.start(head.status, headers);
  bool accepted = true;
  while (accepted) {
    std::optional<std::string> piece = co_await exchange.read(deadline - time_.now());
    if (!piece)
      break;
    wait.record_answer();
    accepted = co_await writer.write(std::move(*piece));
  }
  if (!accepted)
    co_return;
  if (head.framing == net::body_framing::connection_close) {
    const bool confirmed = co_await liveness_.is_running(std::move(target), deadline - time_.now());
    if (!confirmed)
      throw net::transport_error(net::request_progress::may_have_been_read, false,
                                 "the target's process ended within its response");
  }
  if (has_body)
    writer.finish();
  else
    writer.send(head.status, std::move(headers), "");
}

} // namespace camphorlug::gateway
