#pragma once

#include "camphorlug/gateway/organisation_key.h"
#include "camphorlug/gateway/route.h"
#include "camphorlug/gateway/service_spec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorlug::gateway {

/// Limits for callers' requests and connections.
struct request_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  /// How long a connection may be idle; nothing if there is no limit.
  std::optional<std::chrono::milliseconds> idle_time;
};

/// One version of the operators' configuration.
class routing_config {
public:
  std::uint64_t version = 0;
  std::map<std::string, service_spec> services;
  /// API keys of all organisations.
  std::unordered_map<std::string, organisation_key> keys;
  /// Pairs of organisations that list the same key; it belongs to the second one.
  std::vector<std::pair<std::string, std::string>> shared_keys;
  /// Whether the configuration defines organisations; only then do requests need a key.
  bool has_organisations = false;
  request_limits limits;

  /// Whether the requests of `service` go to groups of instances rather than to
  /// single instances.
  bool serves_in_groups(const std::string& service) const;

  /// Returns the model that selects among the targets of the service: the requested one, or none
  /// for a service without groups.
  std::string selecting_model(const std::string& service, const std::string& requested) const {
    return serves_in_groups(service) ? requested : "";
  }

  /// Adds a key. One that another organisation has already belongs to the new one from then on.
  void add_key(const std::string& key, const organisation_key& owner);

  void add_route(route added);
  const std::vector<std::shared_ptr<const route>>& routes() const { return routes_; }

  /// Returns the route of `host` with the longest prefix of `path`, or null. `path`
  /// must not include a query string.
  std::shared_ptr<const route> find_route(std::string_view host, std::string_view path) const;

  /// The regions that all routes of the host allow.
  home_regions homes_of(std::string_view host) const;

private:
  std::vector<std::shared_ptr<const route>> routes_;
  /// Keyed by the normalised host, a line break and the path prefix.
  std::unordered_map<std::string, std::shared_ptr<const route>> routes_by_prefix_;
};

} // namespace camphorlug::gateway
