#pragma once

#include "camphorlug/documents/document_view.h"
#include "camphorlug/groups/group_record.h"
#include "camphorlug/groups/group_view.h"
#include "camphorlug/table/row_cache.h"
#include "camphorlug/watching/instance_directory.h"
#include "camphorlug/watching/observation_cache.h"

#include <map>
#include <string>
#include <vector>

namespace camphorlug::groups {

/// Combines group rows with instance reports. A group is routable only while its
/// row is in state `serving` and, within `max_report_age`, every member has
/// reported that it is ready in this group.
class live_groups final : public group_view {
public:
  /// Maximum age of a member's last report for its group to be routable.
  static constexpr std::chrono::seconds max_report_age{3};

  live_groups(support::clock& time, table::row_cache& rows,
              const documents::document_view& documents,
              const watching::instance_directory& directory,
              const watching::observation_cache& observations);

  target_set targets(const std::string& service) override;

  /// Returns all groups that are not dissolved, ordered by row key.
  std::vector<group_record> records() const;

  /// Returns why a group receives no requests, or an empty string if it does.
  std::string unroutable_reason(const group_record& record) const;

private:
  struct cached_targets {
    target_set targets;
    support::clock::time_point collected_at;
    std::uint64_t observations_generation = 0;
    std::uint64_t rows_fingerprint = 0;
  };

  void update_record(const table::row& changed);
  bool is_fresh(const cached_targets& cached) const;
  std::vector<routable_target> collect_targets(const std::string& service) const;
  void collect_groups(const std::string& service, std::vector<routable_target>& found) const;
  void collect_instances(const documents::service_document& document,
                         std::vector<routable_target>& found) const;

  support::clock& time_;
  table::row_cache& rows_;
  const documents::document_view& documents_;
  const watching::instance_directory& directory_;
  const watching::observation_cache& observations_;
  std::map<std::string, group_record> records_;
  std::map<std::string, cached_targets> cache_;
};

} // namespace camphorlug::groups
