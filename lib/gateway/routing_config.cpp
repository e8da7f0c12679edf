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

/// Lower case and without a port: names of hosts compare without regard to case.
static std::string normalised(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

bool routing_config::serves_in_groups(const std::string& service) const {
  const auto found = services.find(service);
  return found != services.end() && found->second.engine && !found->second.engine->models.empty();
}

void routing_config::add_route(route added) {
  auto kept = std::make_shared<const route>(std::move(added));
  routes_by_prefix_[normalised(kept->host) + '\n' + kept->path_prefix] = kept;
  routes_.push_back(std::move(kept));
}

std::shared_ptr<const route> routing_config::find_route(std::string_view host,
                                                        std::string_view path) const {
  const std::string place = normalised(host) + '\n';
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/', end - 1)) {
    const auto found = routes_by_prefix_.find(place + std::string(path.substr(0, end + 1)));
    if (found != routes_by_prefix_.end())
      return found->second;
    if (end == 0)
      break;
  }
  return nullptr;
}

} // namespace camphorlug::gateway
