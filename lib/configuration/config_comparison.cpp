#include "camphorlug/configuration/config_comparison.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphorlug::configuration {

using gateway::request_kind;
using gateway::route;
using gateway::routing_config;
using gateway::service_spec;

namespace {

/// Collects the changes of one entry.
class entry_changes {
public:
  entry_changes(std::vector<config_change>& all, std::string entry)
      : all_(all), entry_(std::move(entry)) {}

  void add(std::string difference, std::string effect = "") {
    all_.push_back({entry_, std::move(difference), std::move(effect)});
  }

  template<typename Value>
  void compare(const char* what, const Value& before, const Value& after,
               const std::string& effect = "") {
    if (before != after)
      add(std::string(what) + " " + to_text(before) + " becomes " + to_text(after), effect);
  }

private:
  static std::string to_text(std::chrono::milliseconds duration) {
    return std::to_string(duration.count()) + " ms";
  }
  static std::string to_text(const std::optional<std::chrono::milliseconds>& limit) {
    return limit ? to_text(*limit) : "unlimited";
  }
  static std::string to_text(bool flag) { return flag ? "yes" : "no"; }
  static std::string to_text(const std::string& text) { return text; }
  static std::string to_text(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
      return "idempotent";
    case request_kind::non_idempotent:
      return "at most once";
    case request_kind::stream:
      return "stream";
    }
    return "unknown";
  }
  template<typename Number>
  requires std::is_arithmetic_v<Number>
  static std::string to_text(Number number) { return std::to_string(number); }

  std::vector<config_change>& all_;
  std::string entry_;
};

/// Routes are recognised by what they match.
using route_key = std::pair<std::string, std::string>;

std::map<route_key, std::shared_ptr<const route>> matching_routes(const routing_config& config) {
  std::map<route_key, std::shared_ptr<const route>> routes;
  // The last route with a host and prefix is the one that matches.
  for (const auto& each : config.routes())
    routes[{each->host, each->path_prefix}] = each;
  return routes;
}

std::string destinations(const route& each) {
  std::string text;
  for (const auto& [service, weight] : each.services)
    text += (text.empty() ? "" : ", ") + service + " x " + std::to_string(weight);
  return text;
}

void compare_limits(const routing_config& before, const routing_config& after,
                    std::vector<config_change>& all) {
  entry_changes changes(all, "limits");
  changes.compare("header bytes", before.limits.header_bytes, after.limits.header_bytes);
  changes.compare("body bytes", before.limits.body_bytes, after.limits.body_bytes);
  changes.compare("idle time", before.limits.idle_time, after.limits.idle_time);
}

void compare_engines(const service_spec& before, const service_spec& after,
                     entry_changes& changes) {
  if (!before.engine || !after.engine) {
    changes.compare("runs models", before.engine.has_value(), after.engine.has_value());
    return;
  }
  changes.compare("slots", before.engine->batch_slots, after.engine->batch_slots);
  changes.compare("loads a second", before.engine->loads_per_second,
                  after.engine->loads_per_second);
  for (const auto& model : before.engine->models) {
    const auto* other = after.engine->find(model.name);
    if (!other) {
      changes.add("model " + model.name + " removed", "its groups are dissolved");
      continue;
    }
    const std::string name = "model " + model.name + ": ";
    changes.compare((name + "instances in a group").c_str(), model.size, other->size,
                    "its groups are formed anew");
    changes.compare((name + "share").c_str(), model.share, other->share);
  }
  for (const auto& model : after.engine->models) {
    if (!before.engine->find(model.name))
      changes.add("model " + model.name + " added", "groups are formed for it");
  }
}

void compare_services(const routing_config& before, const routing_config& after,
                      std::vector<config_change>& all) {
  for (const auto& [name, service] : before.services) {
    entry_changes changes(all, "service " + name);
    const auto other = after.services.find(name);
    if (other == after.services.end()) {
      changes.add("removed", "requests in progress there finish");
      continue;
    }
    changes.compare("requests a second of a cold target", service.cold_requests_per_second,
                    other->second.cold_requests_per_second);
    compare_engines(service, other->second, changes);
  }
  for (const auto& [name, service] : after.services) {
    if (!before.services.contains(name))
      entry_changes(all, "service " + name).add("added");
  }
}

void compare_route(const route& before, const route& after, entry_changes changes) {
  changes.compare("destination", destinations(before), destinations(after),
                  "requests in progress stay where they are");
  changes.compare("kind", before.kind, after.kind);
  changes.compare("time limit", before.timeout, after.timeout,
                  "requests in progress keep the limit under which they were read");
  changes.compare("objective", before.objective, after.objective);
  changes.compare("pause objective", before.pause_objective, after.pause_objective);
  changes.compare("attempts", before.attempts, after.attempts);
  changes.compare("priority", before.priority, after.priority);
  changes.compare("open to all", before.is_public, after.is_public,
                  after.is_public ? "" : "callers without a key are refused");
  changes.compare("resumable", before.resumable, after.resumable);
}

void compare_routes(const routing_config& before, const routing_config& after,
                    std::vector<config_change>& all) {
  const auto old_routes = matching_routes(before);
  const auto new_routes = matching_routes(after);
  const auto entry_of = [](const route& each) { return "route " + each.host + each.path_prefix; };
  for (const auto& [key, each] : old_routes) {
    const auto other = new_routes.find(key);
    if (other != new_routes.end()) {
      compare_route(*each, *other->second, entry_changes(all, entry_of(*each)));
      continue;
    }
    const auto wider = after.find_route(each->host, each->path_prefix);
    entry_changes(all, entry_of(*each))
        .add("removed", wider ? "its requests go to " + entry_of(*wider)
                              : "new requests get 404; those in progress finish");
  }
  for (const auto& [key, each] : new_routes) {
    if (old_routes.contains(key))
      continue;
    const auto wider = before.find_route(each->host, each->path_prefix);
    entry_changes(all, entry_of(*each))
        .add("added", wider ? "takes requests from " + entry_of(*wider) : "");
  }
}

/// Number of keys of each organisation that are in `config` but not in `other`.
std::map<std::string, std::size_t> keys_missing_in(const routing_config& other,
                                                   const routing_config& config) {
  std::map<std::string, std::size_t> missing;
  for (const auto& [key, owner] : config.keys) {
    const auto found = other.keys.find(key);
    if (found == other.keys.end() || found->second.organisation != owner.organisation)
      ++missing[owner.organisation];
  }
  return missing;
}

void compare_organisations(const routing_config& before, const routing_config& after,
                           std::vector<config_change>& all) {
  entry_changes(all, "organisations")
      .compare("keys needed", before.has_organisations, after.has_organisations,
               after.has_organisations ? "callers without a key are refused" : "");
  for (const auto& [organisation, count] : keys_missing_in(after, before))
    entry_changes(all, "organisation " + organisation)
        .add(std::to_string(count) + " keys removed", "new requests with them get 401");
  for (const auto& [organisation, count] : keys_missing_in(before, after))
    entry_changes(all, "organisation " + organisation).add(std::to_string(count) + " keys added");
}

} // namespace

std::vector<config_change> compare_configs(const routing_config& before,
                                           const routing_config& after) {
  std::vector<config_change> all;
  if (after.version <= before.version)
    entry_changes(all, "version")
        .add(std::to_string(after.version) + " is not above " + std::to_string(before.version),
             "nodes ignore it");
  compare_limits(before, after, all);
  compare_services(before, after, all);
  compare_routes(before, after, all);
  compare_organisations(before, after, all);
  return all;
}

} // namespace camphorlug::configuration
