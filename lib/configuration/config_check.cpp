#include "camphorlug/configuration/config_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace camphorlug::configuration {

using gateway::engine_profile;
using gateway::model_profile;
using gateway::request_kind;
using gateway::route;
using gateway::routing_config;
using gateway::service_spec;

namespace {

/// Shares of models that are written with few decimals may miss the whole by this.
constexpr double share_tolerance = 0.01;

/// Collects the findings on one entry.
class entry_findings {
public:
  entry_findings(config_findings& all, std::string entry) : all_(all), entry_(std::move(entry)) {}

  void error(std::string message) {
    all_.push_back({finding_severity::error, entry_, std::move(message)});
  }
  void warn(std::string message) {
    all_.push_back({finding_severity::warning, entry_, std::move(message)});
  }

private:
  config_findings& all_;
  std::string entry_;
};

std::string to_text(std::chrono::milliseconds duration) {
  return std::to_string(duration.count()) + " ms";
}

std::string label(const route& each) {
  return "route " + (each.name.empty() ? each.host + each.path_prefix : each.name);
}

void check_limits(const gateway::request_limits& limits, entry_findings findings) {
  if (limits.header_bytes == 0)
    findings.error("no request has headers of 0 bytes, so that all are refused");
  if (limits.body_bytes == 0)
    findings.warn("requests with a body are refused");
}

void check_times(const route& each, entry_findings& findings) {
  if (each.timeout.count() <= 0)
    findings.error("the time limit of " + to_text(each.timeout) + " leaves no time for a response");
  else if (each.objective > each.timeout)
    findings.warn("the objective of " + to_text(each.objective) + " is beyond the time limit of " +
                  to_text(each.timeout));
  if (each.objective.count() <= 0)
    findings.warn("no response meets an objective of " + to_text(each.objective));
  if (each.kind != request_kind::stream)
    return;
  if (each.pause_objective.count() <= 0)
    findings.warn("no stream meets a pause objective of " + to_text(each.pause_objective));
  else if (each.pause_objective > each.timeout)
    findings.warn("the pause objective of " + to_text(each.pause_objective) +
                  " is beyond the time limit");
}

void check_attempts(const route& each, entry_findings& findings) {
  if (each.attempts == 0)
    findings.error("with 0 attempts no request reaches a target");
  if (each.attempts > 1 && !each.repeatable())
    findings.warn("only one of " + std::to_string(each.attempts) +
                  " attempts is used, since its requests may run only once");
  if (each.resumable && each.kind != request_kind::stream)
    findings.warn("only streams can be resumed");
}

void check_destinations(const route& each, const routing_config& config, entry_findings& findings) {
  double weights = 0;
  std::set<std::string> named;
  for (const auto& [service, weight] : each.services) {
    if (!config.services.contains(service))
      findings.error("service " + service + " is not defined");
    if (!named.insert(service).second)
      findings.warn("service " + service + " is named twice");
    if (!std::isfinite(weight) || weight < 0)
      findings.error("the weight of service " + service + " is not a positive number");
    else if (weight == 0)
      findings.warn("service " + service + " has weight 0 and gets no requests");
    weights += weight;
  }
  if (!(weights > 0))
    findings.error("no service has a weight above 0");
}

void check_prefix(const route& each, entry_findings& findings) {
  if (each.host.empty())
    findings.error("no request has an empty host");
  const bool is_prefix = each.path_prefix.starts_with('/') && each.path_prefix.ends_with('/');
  if (!is_prefix)
    findings.error("no request matches prefix '" + each.path_prefix +
                   "', which must begin and end with a slash");
}

void check_route(const std::shared_ptr<const route>& each, const routing_config& config,
                 config_findings& all) {
  entry_findings findings(all, label(*each));
  check_prefix(*each, findings);
  const auto found = config.find_route(each->host, each->path_prefix);
  if (found && found != each)
    findings.warn("never matches: " + label(*found) + " has the same host and prefix");
  check_times(*each, findings);
  check_attempts(*each, findings);
  check_destinations(*each, config, findings);
}

void check_models(const engine_profile& engine, entry_findings& findings) {
  std::set<std::string> names;
  double shares = 0;
  for (const model_profile& model : engine.models) {
    const std::string name = "model " + model.name;
    if (!names.insert(model.name).second)
      findings.error(name + " is defined twice");
    if (model.size == 0)
      findings.error(name + " needs at least one instance in a group");
    if (!(model.time_factor > 0))
      findings.error(name + " has a time factor that is not positive");
    if (!(model.share >= 0))
      findings.error(name + " has a negative share");
    if (model.staged_load_time > model.load_time)
      findings.warn(name + " loads slower from the host than from the store");
    shares += model.share;
  }
  if (!engine.models.empty() && shares > 1 + share_tolerance)
    findings.warn("the models' shares add up to more than the whole");
}

void check_service(const service_spec& service, bool is_used, config_findings& all) {
  entry_findings findings(all, "service " + service.name);
  if (!is_used)
    findings.warn("no route points to it");
  if (!service.engine)
    return;
  if (service.engine->batch_slots == 0)
    findings.error("a group with 0 slots runs no request");
  if (!(service.engine->loads_per_second > 0))
    findings.error("no weights can be loaded at " +
                   std::to_string(service.engine->loads_per_second) + " loads a second");
  check_models(*service.engine, findings);
}

std::set<std::string> used_services(const routing_config& config) {
  std::set<std::string> used;
  for (const auto& route : config.routes()) {
    for (const auto& destination : route->services)
      used.insert(destination.service);
  }
  return used;
}

void check_keys(const routing_config& config, config_findings& all) {
  for (const auto& [first, second] : config.shared_keys)
    entry_findings(all, "organisation " + second)
        .error(first == second ? "lists a key twice"
                               : "has a key that organisation " + first + " has too");
  if (!config.has_organisations || !config.keys.empty())
    return;
  const auto& routes = config.routes();
  const bool any_closed = std::any_of(routes.begin(), routes.end(),
                                      [](const auto& route) { return !route->is_public; });
  if (any_closed)
    entry_findings(all, "organisations")
        .error("no key is defined, so that all requests need one "
               "that nobody has");
}

} // namespace

config_findings check_config(const routing_config& config) {
  config_findings all;
  check_limits(config.limits, entry_findings(all, "limits"));
  const std::set<std::string> used = used_services(config);
  for (const auto& [name, service] : config.services)
    check_service(service, used.contains(name), all);
  for (const auto& route : config.routes())
    check_route(route, config, all);
  check_keys(config, all);
  std::stable_sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
    return left.severity == finding_severity::error && right.severity != left.severity;
  });
  return all;
}

} // namespace camphorlug::configuration
