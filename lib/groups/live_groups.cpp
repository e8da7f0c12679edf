#include "camphorlug/groups/live_groups.h"

#include "camphorlug/groups/row_keys.h"
#include "camphorlug/support/log.h"

namespace camphorlug::groups {

/// Maximum age of a cached target set whose inputs are not known to have changed.
static constexpr std::chrono::milliseconds max_cache_age{100};

live_groups::live_groups(support::clock& time, table::row_cache& rows,
                         const documents::document_view& documents,
                         const watching::instance_directory& directory,
                         const watching::observation_cache& observations)
    : time_(time), rows_(rows), documents_(documents), directory_(directory),
      observations_(observations) {
  for (const table::row* present : rows.find_by_prefix(group_prefix))
    update_record(*present);
  rows.add_listener([this](const table::row& changed) { update_record(changed); });
}

void live_groups::update_record(const table::row& changed) {
  if (!changed.key.starts_with(group_prefix))
    return;
  try {
    records_[changed.key] = group_record::from_json(changed.value);
  } catch (const std::exception& error) {
    records_.erase(changed.key);
    support::log_event(support::log_level::error, "group_row_malformed",
                       {{"key", changed.key}, {"error", error.what()}});
  }
}

std::vector<group_record> live_groups::records() const {
  std::vector<group_record> list;
  for (const auto& [key, record] : records_) {
    if (record.state != group_state::dissolved)
      list.push_back(record);
  }
  return list;
}

std::string live_groups::unroutable_reason(const group_record& record) const {
  if (record.state != group_state::serving)
    return std::string("the group is ") + to_string(record.state);
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    const std::string& instance = record.members[rank].instance;
    const watching::observation* seen = observations_.find(instance);
    if (!seen || time_.now() - seen->seen_at > max_report_age)
      return instance + " has not been seen recently";
    if (seen->absent)
      return instance + " refuses connections";
    const targets::instance_report& report = seen->report;
    if (report.group != record.id || report.number != record.number || report.rank != rank)
      return instance + " does not report this group and its current number";
    if (!report.ready)
      return instance + " is not ready";
    const table::listed_instance* listed = directory_.find(instance);
    if (report.leaving || (listed && listed->leaving))
      return instance + " is leaving";
  }
  return {};
}

bool live_groups::is_fresh(const cached_targets& cached) const {
  return cached.targets && cached.observations_generation == observations_.generation() &&
         cached.rows_fingerprint == rows_.fingerprint() &&
         time_.now() - cached.collected_at < max_cache_age;
}

target_set live_groups::targets(const std::string& service) {
  cached_targets& cached = cache_[service];
  if (is_fresh(cached))
    return cached.targets;
  cached.targets = std::make_shared<const std::vector<routable_target>>(collect_targets(service));
  cached.collected_at = time_.now();
  cached.observations_generation = observations_.generation();
  cached.rows_fingerprint = rows_.fingerprint();
  return cached.targets;
}

std::vector<routable_target> live_groups::collect_targets(const std::string& service) const {
  std::vector<routable_target> found;
  const auto in_force = documents_.find(service);
  if (!in_force)
    return found;
  if (in_force->document.model)
    collect_groups(service, found);
  else
    collect_instances(in_force->document, found);
  std::erase_if(found, [&in_force](const routable_target& target) {
    return !in_force->document.allows_data_centre(target.data_centre);
  });
  return found;
}

void live_groups::collect_groups(const std::string& service,
                                 std::vector<routable_target>& found) const {
  for (const auto& [key, record] : records_) {
    if (record.service != service || !unroutable_reason(record).empty())
      continue;
    const watching::observation* rank_zero = observations_.find(record.members.front().instance);
    found.push_back({record.id, record.number, record.members.front().address, record.data_centre,
                     rank_zero->report.running + rank_zero->report.waiting, rank_zero->seen_at});
  }
}

void live_groups::collect_instances(const documents::service_document& document,
                                    std::vector<routable_target>& found) const {
  for (const auto& [id, instance] : directory_.all()) {
    if (instance.pool != document.pool || instance.leaving ||
        instance.role != table::instance_role::plain)
      continue;
    const watching::observation* seen = observations_.find(id);
    const bool usable = seen && !seen->absent && seen->report.ready && !seen->report.leaving &&
                        time_.now() - seen->seen_at <= max_report_age;
    if (usable)
      found.push_back({id, 0, instance.address, instance.data_centre, 0, seen->seen_at});
  }
}

} // namespace camphorlug::groups
