#include "camphorlug/edge/assisted_prober.h"

#include "camphorlug/net/percent_encoding.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"

#include <charconv>

namespace camphorlug::edge {

using replicas::process_state;

static constexpr std::chrono::milliseconds poll_interval{20};
/// The peer itself needs up to 700 ms to find that an instance does not answer a probe. It may wait
/// longer for one that pauses; the answer then counts as missing.
static constexpr std::chrono::milliseconds peer_timeout{900};
/// Query parameter with the start of the process that is asked for. Earlier builds ignore it and
/// answer for whatever process has the id.
static constexpr const char* start_parameter = "start";

support::task<bool> assisted_prober::probe(gateway::target_entry entry) {
  const auto start = time_.now();
  std::string id = entry.id;
  const bool answered = co_await prober_.probe(std::move(entry));
  if (answered)
    co_return true;
  const bool hears_others = co_await hears_targets_since(start);
  if (hears_others)
    co_return false;
  co_return co_await ask_peer(std::string(probe_prefix) + net::percent_encode(id));
}

support::task<replicas::report_result> assisted_prober::report(gateway::target_entry entry) {
  return prober_.report(std::move(entry));
}

support::task<process_state> assisted_prober::ask_process(gateway::target_entry entry) {
  if (paths_.has_lost(entry.service)) {
    std::string target = std::string(probe_prefix) + net::percent_encode(entry.id) + "?" +
                         start_parameter + "=" + std::to_string(entry.started_at_ms);
    const bool is_running = co_await ask_peer(std::move(target));
    co_return is_running ? process_state::running : process_state::ended;
  }
  co_return co_await prober_.ask_process(std::move(entry));
}

support::task<bool> assisted_prober::hears_targets_since(support::clock::time_point start) {
  const auto until = time_.now() + gateway::path_monitor::doubt_after;
  while (!paths_.answered_since(start) && time_.now() < until)
    co_await time_.sleep_for(poll_interval);
  co_return paths_.answered_since(start);
}

support::task<bool> assisted_prober::ask_peer(std::string request_target) {
  const std::optional<std::string> peer = sender_.choose_relay({});
  if (!peer)
    co_return false;
  net::client_request request;
  request.address = *peer;
  request.target = std::move(request_target);
  request.connection = net::connection_use::pooled;
  bool is_alive = false;
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), peer_timeout);
    is_alive = response.status == 200;
  } catch (const net::transport_error&) {
    // Without a second opinion, the result of this node's own probe stands.
  }
  co_return is_alive;
}

/// Returns a start that no process has if the text is no number.
static std::int64_t read_start(const std::string& text) {
  std::int64_t start = -1;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), start);
  return error == std::errc() && rest == text.data() + text.size() ? start : -1;
}

support::task<> assisted_prober::handle(net::server_request request,
                                        const gateway::target_registry& registry,
                                        net::response_writer& writer) {
  const gateway::target_entry* entry =
      registry.find(net::percent_decode(request.path.substr(probe_prefix.size())));
  bool is_alive = false;
  if (entry) {
    gateway::target_entry asked = *entry;
    const auto start = request.query_value(start_parameter);
    if (start) {
      asked.started_at_ms = read_start(*start);
      // The other node may have sent its request to an earlier group.
      asked.membership.reset();
    }
    if (start) {
      const process_state state = co_await prober_.ask_process(std::move(asked));
      is_alive = state == process_state::running;
    } else {
      is_alive = co_await prober_.probe(std::move(asked));
    }
  }
  if (is_alive)
    net::send_json(writer, 200, "{}");
  else
    net::send_problem(writer, {404, "no-answer", "the instance does not answer this node"});
}

} // namespace camphorlug::edge
