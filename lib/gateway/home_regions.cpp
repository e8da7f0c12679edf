#include "camphorlug/gateway/home_regions.h"

#include <algorithm>
#include <iterator>

namespace camphorlug::gateway {

bool home_regions::allows(const std::string& data_centre, const region_map& regions) const {
  if (!regions_)
    return true;
  const auto found = regions.find(data_centre);
  return found != regions.end() && allows_region(found->second);
}

bool home_regions::allows_region(const std::string& region) const {
  return !regions_ || regions_->contains(region);
}

home_regions home_regions::common_with(const home_regions& other) const {
  if (!regions_ || !other.regions_)
    return regions_ ? *this : other;
  std::set<std::string> common;
  std::set_intersection(regions_->begin(), regions_->end(), other.regions_->begin(),
                        other.regions_->end(), std::inserter(common, common.end()));
  return home_regions(std::move(common));
}

home_regions home_regions::with_region(const std::string& region) const {
  home_regions extended = *this;
  if (extended.regions_ && !region.empty())
    extended.regions_->insert(region);
  return extended;
}

} // namespace camphorlug::gateway
