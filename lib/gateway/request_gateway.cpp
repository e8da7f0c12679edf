#include "camphorlug/gateway/request_gateway.h"

#include "camphorlug/gateway/request_forwarder.h"
#include "camphorlug/support/log.h"

namespace camphorlug::gateway {

/// A node without a configuration loads one as soon as it reaches the store.
static constexpr std::chrono::milliseconds no_config_retry_after{500};

/// The caller can retry at another node at once.
static constexpr std::chrono::milliseconds other_node_retry_after{50};
/// No other node is known to serve.
static constexpr std::chrono::milliseconds no_node_retry_after{500};

/// Only another configuration helps, which an operator has to write.
static constexpr std::chrono::milliseconds no_home_retry_after{10'000};

/// What a request takes beside its body: headers, the state of its coroutines, and what the client
/// has read of its response, see curl_client.cpp.
static constexpr std::size_t request_overhead_bytes = 48 * 1024;
/// Copies of a body that the gateway holds beside the server's: its own and the one that is sent.
static constexpr std::size_t body_copies = 2;
/// Memory is free again when responses have been read, mostly within a second. The spread keeps
/// refused callers from returning together.
static constexpr std::chrono::milliseconds min_memory_retry_after{300};
static constexpr std::chrono::milliseconds max_memory_retry_after{1500};

namespace {

/// Lists a forwarder while it runs.
class in_progress_entry {
public:
  in_progress_entry(std::set<request_forwarder*>& all, request_forwarder& forwarder)
      : all_(all), forwarder_(forwarder) {
    all_.insert(&forwarder_);
  }
  ~in_progress_entry() { all_.erase(&forwarder_); }
  in_progress_entry(const in_progress_entry&) = delete;
  in_progress_entry& operator=(const in_progress_entry&) = delete;

private:
  std::set<request_forwarder*>& all_;
  request_forwarder& forwarder_;
};

} // namespace

void request_gateway::reject(const caller_request& request, net::response_writer& writer,
                             int status, std::string_view reason,
                             std::chrono::milliseconds retry_after) {
  const bool may_retry = retry_after > std::chrono::milliseconds(0);
  net::header_list headers = env_.protocol.local_response_headers(
      request, may_retry ? std::optional(retry_after) : std::nullopt);
  const shutdown_state shutdown = shutdown_();
  std::string since_shutdown_ms;
  if (shutdown.phase != shutdown_phase::none) {
    headers.add("Connection", "close");
    since_shutdown_ms =
        std::to_string((env_.time.now() - shutdown.began_at) / std::chrono::milliseconds(1));
  }
  writer.send(status, std::move(headers), std::string(reason) + "\n");
  const auto& config = env_.config.current();
  env_.metrics.count_request("none", "rejected", std::chrono::nanoseconds(0));
  support::log_event(support::log_level::warning, "request",
                     {{"request", request.id},
                      {"outcome", "rejected"},
                      {"status", std::to_string(status)},
                      {"detail", std::string(reason)},
                      {"host", request.host},
                      {"path", request.path},
                      {"since_shutdown_ms", since_shutdown_ms},
                      {"config", std::to_string(config ? config->version : 0)}});
}

support::task<> request_gateway::handle(net::server_request raw, net::response_writer& writer) {
  ++handled_;
  const std::uint64_t connection = raw.connection_id;
  caller_request request = env_.protocol.parse_request(std::move(raw));
  // Holds a reference, because a newer version may replace this one while the request runs.
  const std::shared_ptr<const routing_config> config = env_.config.current();
  if (!config) {
    reject(request, writer, 503, "no configuration is known yet", no_config_retry_after);
    co_return;
  }
  if (request.header_bytes > config->limits.header_bytes) {
    reject(request, writer, 431, "the headers are larger than the configuration allows");
    co_return;
  }
  if (request.body.size() > config->limits.body_bytes) {
    reject(request, writer, 413, "the body is larger than the configuration allows");
    co_return;
  }
  const std::shared_ptr<const route> chosen = config->find_route(request.host, request.path);
  if (!chosen) {
    reject(request, writer, 404, "no route leads there");
    co_return;
  }
  std::string organisation;
  int priority = chosen->priority;
  request.homes = chosen->homes;
  if (config->has_organisations && !chosen->is_public) {
    const auto key_entry = request.key ? config->keys.find(*request.key) : config->keys.end();
    if (key_entry == config->keys.end()) {
      reject(request, writer, 401, "the key is missing or unknown");
      co_return;
    }
    organisation = key_entry->second.organisation;
    priority = key_entry->second.priority.value_or(priority);
    request.homes = request.homes.common_with(key_entry->second.homes);
  }
  if (request.homes.allows_none()) {
    reject(request, writer, 503, "no region is a home of both the route and the organisation",
           no_home_retry_after);
    co_return;
  }
  const shutdown_state shutdown = shutdown_();
  if (may_not_finish(shutdown, *chosen, request)) {
    reject(request, writer, 503, "this node ends; connect to another one",
           shutdown.others_serve ? other_node_retry_after : no_node_retry_after);
    co_return;
  }
  request.memory_holder =
      organisation.empty() ? "connection " + std::to_string(connection) : organisation;
  support::memory_budget::charge memory(env_.memory, request.memory_holder);
  if (!memory.try_add(request_overhead_bytes + body_copies * request.body.size())) {
    const auto spread =
        (max_memory_retry_after - min_memory_retry_after) * env_.random.uniform_real();
    reject(request, writer, 503, "no memory is left for the request",
           min_memory_retry_after + std::chrono::duration_cast<std::chrono::milliseconds>(spread));
    co_return;
  }
  request_forwarder forwarder(env_, writer, std::move(request), chosen, std::move(organisation),
                              priority,
                              [this] { return shutdown_().phase != shutdown_phase::none; });
  const in_progress_entry entry(in_progress_, forwarder);
  co_await forwarder.run();
}

bool request_gateway::may_not_finish(const shutdown_state& shutdown, const route& chosen,
                                     const caller_request& request) const {
  if (shutdown.phase == shutdown_phase::none)
    return false;
  if (shutdown.phase == shutdown_phase::closing && chosen.kind == request_kind::stream)
    return true;
  return shutdown.should_reject(env_.time.now(), request.time_limit_within(chosen.timeout),
                                usual_duration(chosen, request));
}

/// Returns the mean time for which requests of the route's slowest pool have used a slot; zero if
/// none is known.
std::chrono::nanoseconds request_gateway::usual_duration(const route& chosen,
                                                         const caller_request& request) const {
  std::chrono::nanoseconds longest{0};
  for (const weighted_service& each : chosen.services) {
    const target_pool pool{each.service,
                           env_.config.current()->selecting_model(each.service, request.model),
                           request.homes};
    longest = std::max(longest, env_.queue.mean_hold(pool).value_or(longest));
  }
  return longest;
}

void request_gateway::end_requests() {
  const std::chrono::nanoseconds since_shutdown = env_.time.now() - shutdown_().began_at;
  for (request_forwarder* each : in_progress_)
    each->end_before_exit(since_shutdown);
}

} // namespace camphorlug::gateway
