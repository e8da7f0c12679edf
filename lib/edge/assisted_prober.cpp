#include "camphorlug/edge/assisted_prober.h"

#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"

namespace camphorlug::edge {

static constexpr std::chrono::milliseconds poll_interval{20};
/// The peer itself needs up to 700 ms to find that an instance does not answer.
static constexpr std::chrono::milliseconds peer_timeout{900};

support::task<bool> assisted_prober::probe(gateway::target_entry entry) {
  const auto start = time_.now();
  std::string id = entry.id;
  const bool answered = co_await prober_.probe(std::move(entry));
  if (answered)
    co_return true;
  const bool hears_others = co_await hears_targets_since(start);
  if (hears_others)
    co_return false;
  co_return co_await ask_peer(std::move(id));
}

support::task<replicas::report_result> assisted_prober::report(gateway::target_entry entry) {
  return prober_.report(std::move(entry));
}

support::task<bool> assisted_prober::is_running(gateway::target_entry entry) {
  if (paths_.has_lost(entry.service)) {
    std::string id = entry.id;
    co_return co_await ask_peer(std::move(id));
  }
  co_return co_await prober_.is_running(std::move(entry));
}

support::task<bool> assisted_prober::hears_targets_since(support::clock::time_point start) {
  const auto until = time_.now() + gateway::path_monitor::doubt_after;
  while (!paths_.answered_since(start) && time_.now() < until)
    co_await time_.sleep_for(poll_interval);
  co_return paths_.answered_since(start);
}

support::task<bool> assisted_prober::ask_peer(std::string id) {
  const std::optional<std::string> peer = sender_.choose_relay({});
  if (!peer)
    co_return false;
  net::client_request request;
  request.address = *peer;
  request.target = std::string(probe_prefix) + id;
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

support::task<> assisted_prober::handle(net::server_request request,
                                        const gateway::target_registry& registry,
                                        net::response_writer& writer) {
  const gateway::target_entry* entry = registry.find(request.path.substr(probe_prefix.size()));
  bool is_alive = false;
  if (entry)
    is_alive = co_await prober_.probe(*entry);
  if (is_alive)
    net::send_json(writer, 200, "{}");
  else
    net::send_problem(writer, {404, "no-answer", "the instance does not answer this node"});
}

} // namespace camphorlug::edge
