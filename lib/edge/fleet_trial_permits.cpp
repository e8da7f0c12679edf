#include "camphorlug/edge/fleet_trial_permits.h"

#include "camphorlug/gateway/fleet_exchange.h"
#include "camphorlug/net/problem.h"
#include "camphorlug/net/transport_error.h"
#include "camphorlug/routing/rendezvous.h"
#include "camphorlug/support/json_text.h"
#include "camphorlug/support/log.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorlug::edge {

using gateway::trial_answer;
using gateway::trial_step;

/// A slot is kept meanwhile, so that the wait is short.
static constexpr std::chrono::milliseconds ask_timeout{200};
/// Bounds the messages about a request that many callers send.
static constexpr std::chrono::milliseconds reuse_time{50};

static constexpr const char* ask_step = "ask";
static constexpr std::pair<trial_step, const char*> step_names[] = {
    {trial_step::survived, "survived"}, {trial_step::not_sent, "not-sent"}};
static constexpr std::pair<trial_answer, const char*> answer_names[] = {
    {trial_answer::granted, "granted"}, {trial_answer::open, "open"}, {trial_answer::busy, "busy"}};

template<typename value, std::size_t count>
static std::string name_of(const std::pair<value, const char*> (&names)[count], value wanted) {
  for (const auto& [each, name] : names) {
    if (each == wanted)
      return name;
  }
  return "";
}

template<typename value, std::size_t count>
static std::optional<value> find_named(const std::pair<value, const char*> (&names)[count],
                                       const std::string& wanted) {
  for (const auto& [each, name] : names) {
    if (wanted == name)
      return each;
  }
  return std::nullopt;
}

fleet_trial_permits::fleet_trial_permits(context dependencies)
    : context_(std::move(dependencies)), trials_(context_.time, context_.causes) {}

std::optional<std::string> fleet_trial_permits::decider_of(const std::string& request) const {
  const auto key = routing::rendezvous_hash(request);
  std::uint64_t most = routing::rendezvous_weight(key, routing::rendezvous_hash(context_.self));
  std::optional<std::string> decider;
  for (const auto& [id, other] : context_.fleet.others()) {
    const std::uint64_t weight = routing::rendezvous_weight(key, routing::rendezvous_hash(id));
    if (other.status.ready && !other.status.leaving && weight > most) {
      most = weight;
      decider = other.status.peer_address;
    }
  }
  return decider;
}

static std::string make_query(const std::string& step, const std::string& request,
                              const std::string& node) {
  return "step=" + step + "&request=" + request + "&node=" + node;
}

support::task<trial_answer> fleet_trial_permits::ask(std::string request) {
  const auto now = context_.time.now();
  std::erase_if(recent_, [&](const auto& each) { return each.second.until <= now; });
  if (const auto found = recent_.find(request); found != recent_.end())
    co_return found->second.answer;
  const std::size_t crashes = context_.causes.crashes_under(request);
  std::optional<trial_answer> answer;
  if (const std::optional<std::string> decider = decider_of(request)) {
    std::string query =
        make_query(ask_step, request, context_.self) + "&crashes=" + std::to_string(crashes);
    answer = co_await ask_peer(*decider, std::move(query));
  }
  if (!answer)
    answer = trials_.ask(request, context_.self, crashes);
  if (*answer != trial_answer::granted)
    recent_[request] = {*answer, context_.time.now() + reuse_time};
  co_return *answer;
}

support::task<std::optional<trial_answer>> fleet_trial_permits::ask_peer(std::string peer,
                                                                         std::string query) {
  net::client_request request;
  request.method = "POST";
  request.address = peer;
  request.target = std::string(gateway::trials_path) + "?" + query;
  request.connect_timeout = ask_timeout;
  request.connection = net::connection_use::pooled;
  try {
    const net::client_response response =
        co_await context_.client.fetch(std::move(request), ask_timeout);
    // A node of an earlier version knows no such path.
    if (response.status == 200)
      co_return find_named(answer_names, nlohmann::json::parse(response.body).value("answer", ""));
  } catch (const net::transport_error& error) {
    support::log_event(support::log_level::info, "trial_not_asked",
                       {{"peer", peer}, {"error", error.what()}});
  } catch (const nlohmann::json::exception& error) {
    support::log_event(support::log_level::warning, "trial_answer_unreadable",
                       {{"peer", peer}, {"error", error.what()}});
  }
  co_return std::nullopt;
}

support::task<> fleet_trial_permits::tell_peer(std::string peer, std::string query) {
  co_await ask_peer(std::move(peer), std::move(query));
}

void fleet_trial_permits::report(const std::string& request, trial_step step) {
  recent_.erase(request);
  trials_.record(request, context_.self, step);
  const std::optional<std::string> decider = decider_of(request);
  if (!decider)
    return;
  std::string query = make_query(name_of(step_names, step), request, context_.self);
  support::spawn(context_.executor, "tell_trial", tell_peer(*decider, std::move(query)));
}

void fleet_trial_permits::handle(const net::server_request& request, net::response_writer& writer) {
  const auto id = request.query_value("request");
  const auto node = request.query_value("node");
  const std::string step = request.query_value("step").value_or("");
  const std::string crashes_text = request.query_value("crashes").value_or("0");
  const std::optional<trial_step> told = find_named(step_names, step);
  std::size_t crashes = 0;
  const auto parsed =
      std::from_chars(crashes_text.data(), crashes_text.data() + crashes_text.size(), crashes);
  if (!id || !node || (!told && step != ask_step) || parsed.ec != std::errc()) {
    net::send_problem(writer, {400, "bad-trial", "see fleet_trial_permits.cpp"});
    return;
  }
  nlohmann::json answer = nlohmann::json::object();
  if (told)
    trials_.record(*id, *node, *told);
  else
    answer["answer"] = name_of(answer_names, trials_.ask(*id, *node, crashes));
  net::send_json(writer, 200, support::to_json_text(answer));
}

} // namespace camphorlug::edge
