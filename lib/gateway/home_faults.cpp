#include "camphorlug/gateway/home_faults.h"

#include <algorithm>
#include <map>

namespace camphorlug::gateway {

static void check_regions(const std::string& subject, const home_regions& homes,
                          const region_map& known, std::vector<home_fault>& faults) {
  if (!homes.is_restricted())
    return;
  if (homes.allows_none())
    faults.push_back({subject, "no region is allowed"});
  for (const std::string& region : *homes.regions()) {
    const bool is_known = std::any_of(known.begin(), known.end(),
                                      [&](const auto& each) { return each.second == region; });
    if (!is_known)
      faults.push_back({subject, "no data centre lies in region " + region});
  }
}

std::vector<home_fault> find_home_faults(const routing_config& config, const region_map& regions) {
  std::vector<home_fault> faults;
  std::map<std::string, home_regions> organisations;
  for (const auto& [key, each] : config.keys)
    organisations.emplace(each.organisation, each.homes);
  for (const auto& [name, homes] : organisations)
    check_regions("organisation " + name, homes, regions, faults);
  for (const auto& route : config.routes()) {
    const std::string subject = "route " + route->name;
    check_regions(subject, route->homes, regions, faults);
    if (route->homes.allows_none() || route->is_public)
      continue;
    for (const auto& [name, homes] : organisations) {
      if (!homes.allows_none() && route->homes.common_with(homes).allows_none())
        faults.push_back({subject, "it has no home in common with organisation " + name});
    }
  }
  return faults;
}

} // namespace camphorlug::gateway
