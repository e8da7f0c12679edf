#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// Region of each data centre.
using region_map = std::map<std::string, std::string>;

/// The regions to which requests are bound: of a route, of an organisation, or of both.
class home_regions {
public:
  /// Requests may go anywhere.
  home_regions() = default;
  /// Requests may go to these regions only; nowhere if there are none.
  explicit home_regions(std::set<std::string> regions) : regions_(std::move(regions)) {}

  bool is_restricted() const { return regions_.has_value(); }
  bool allows_none() const { return regions_ && regions_->empty(); }
  /// Whether requests may go to the data centre. One whose region is unknown is no home.
  bool allows(const std::string& data_centre, const region_map& regions) const;
  /// Whether requests may go to the region.
  bool allows_region(const std::string& region) const;

  /// The regions that both allow.
  home_regions common_with(const home_regions& other) const;
  /// The regions that these homes allow, and `region`.
  home_regions with_region(const std::string& region) const;

  /// The regions, or nothing if requests may go anywhere.
  const std::optional<std::set<std::string>>& regions() const { return regions_; }

  auto operator<=>(const home_regions&) const = default;

private:
  std::optional<std::set<std::string>> regions_;
};

} // namespace camphorlug::gateway
