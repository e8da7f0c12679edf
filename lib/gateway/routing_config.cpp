#include "camphorlug/gateway/routing_config.h"

#include <algorithm>
#include <cctype>

namespace camphorlug::gateway {

const model_profile* engine_profile::find(const std::string& model) const {
  for (const model_profile& each : models) {
    if (each.name == model)
      return &each;
  }
  return nullptr;
}

double engine_profile::reading_rate(const std::string& model) const {
  const model_profile* profile = find(model);
  return profile && profile->time_factor > 0 ? reading_tokens_per_second / profile->time_factor : 0;
}

/// A caller states the size of its prompt, so that more than this is not believed.
static constexpr std::chrono::duration<double> max_reading_time = std::chrono::seconds(10);

std::chrono::nanoseconds engine_profile::reading_slot_time(const std::string& model,
                                                           double prompt_tokens) const {
  const double rate = reading_rate(model);
  if (rate <= 0 || !(prompt_tokens > 0))
    return std::chrono::nanoseconds(0);
  const std::chrono::duration<double> reading(prompt_tokens / rate);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(std::min(reading, max_reading_time) *
                                                              static_cast<double>(batch_slots));
}

/// Strips the port and converts to lower case, since host names are
/// case-insensitive.
static std::string normalise_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return name;
}

bool routing_config::serves_in_groups(const std::string& service) const {
  const auto found = services.find(service);
  return found != services.end() && found->second.engine && !found->second.engine->models.empty();
}

void routing_config::add_key(const std::string& key, const organisation_key& owner) {
  const auto [entry, is_new] = keys.try_emplace(key, owner);
  if (is_new)
    return;
  shared_keys.emplace_back(entry->second.organisation, owner.organisation);
  entry->second = owner;
}

void routing_config::add_route(route added) {
  auto stored = std::make_shared<const route>(std::move(added));
  routes_by_prefix_[normalise_host(stored->host) + '\n' + stored->path_prefix] = stored;
  routes_.push_back(std::move(stored));
}

std::shared_ptr<const route> routing_config::find_route(std::string_view host,
                                                        std::string_view path) const {
  const std::string host_key = normalise_host(host) + '\n';
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto found = routes_by_prefix_.find(host_key + std::string(path.substr(0, end + 1)));
    if (found != routes_by_prefix_.end())
      return found->second;
    if (end == 0)
      break;
  }
  return nullptr;
}

home_regions routing_config::homes_of(std::string_view host) const {
  const std::string wanted = normalise_host(host);
  home_regions homes;
  for (const std::shared_ptr<const route>& each : routes_) {
    if (normalise_host(each->host) == wanted)
      homes = homes.common_with(each->homes);
  }
  return homes;
}

} // namespace camphorlug::gateway
