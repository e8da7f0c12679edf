#include "camphorlug/groups/pool_table.h"

#include "camphorlug/groups/row_keys.h"
#include "camphorlug/support/log.h"
#include "camphorlug/table/change_index.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::groups {

/// Low bits of a fencing number that count orders under one lease; the bits above
/// them hold the lease's number.
static constexpr unsigned sequence_bits = 24;

/// Stands for the group of an instance whose row cannot be read, so that the instance
/// is neither free nor a member of any group.
static constexpr const char* unreadable_group = "(unreadable)";

static void log_malformed_row(const table::row& malformed, const std::exception& error) {
  support::log_event(support::log_level::error, "pool_row_malformed",
                     {{"key", malformed.key}, {"error", error.what()}});
}

/// A transaction under construction and the group record that it writes.
struct pool_table::pending_change {
  group_record record;
  table::transaction transaction;
  std::vector<std::string> assigned;
  std::vector<std::string> freed;
};

pool_table::pool_table(table::table_store& store, table::row_cache& rows, const lease& pool_lease,
                       support::random_source& random, std::string pool)
    : store_(store), rows_(rows), lease_(pool_lease), random_(random), pool_(std::move(pool)) {}

support::task<> pool_table::load() {
  const auto group_rows = co_await store_.scan(pool_group_prefix(pool_));
  const auto instance_rows = co_await store_.scan(pool_instance_prefix(pool_));
  groups_.clear();
  instances_.clear();
  for (const table::row& row : group_rows) {
    rows_.update_if_newer(row);
    load_group(row);
  }
  for (const table::row& row : instance_rows)
    load_instance(row);
  loaded_ = true;
}

/// A malformed row is passed over, so that it does not keep the other groups from
/// being planned.
void pool_table::load_group(const table::row& row) {
  try {
    group_record record = group_record::from_json(row.value);
    if (record.state != group_state::dissolved)
      groups_.emplace(record.id, cached_group_row{record, row.version});
  } catch (const std::exception& error) {
    log_malformed_row(row, error);
  }
}

void pool_table::load_instance(const table::row& row) {
  const std::string id = row.key.substr(pool_instance_prefix(pool_).size());
  try {
    const auto value = nlohmann::json::parse(row.value);
    instances_[id] = {value.at("group"), row.version};
  } catch (const std::exception& error) {
    log_malformed_row(row, error);
    instances_[id] = {unreadable_group, row.version};
  }
}

std::uint64_t pool_table::newest_number() const {
  return (lease_.number() << sequence_bits) + sequence_;
}

std::uint64_t pool_table::next_number() {
  ++sequence_;
  return newest_number();
}

void pool_table::assign_instance(pending_change& change, const std::string& instance) {
  const auto cached = instances_.find(instance);
  const std::string key = instance_key(pool_, instance);
  change.transaction.checks.push_back(
      {key, cached == instances_.end() ? 0 : cached->second.row_version});
  change.transaction.writes.push_back({key, nlohmann::json{{"group", change.record.id}}.dump()});
  change.assigned.push_back(instance);
}

void pool_table::release_instance(pending_change& change, const std::string& instance) {
  const auto cached = instances_.find(instance);
  if (cached == instances_.end() || cached->second.group != change.record.id)
    return;
  const std::string key = instance_key(pool_, instance);
  change.transaction.checks.push_back({key, cached->second.row_version});
  change.transaction.writes.push_back({key, std::nullopt});
  change.freed.push_back(instance);
}

void pool_table::release_standbys(pending_change& change, std::size_t rank) {
  for (const group_standby& standby : change.record.standbys) {
    if (standby.rank == rank)
      release_instance(change, standby.member.instance);
  }
  std::erase_if(change.record.standbys,
                [rank](const group_standby& standby) { return standby.rank == rank; });
}

pool_table::pending_change pool_table::begin_change(const placement_step& step,
                                                    const std::string& service,
                                                    const documents::model_spec& spec) {
  pending_change change;
  if (step.kind != step_kind::form) {
    change.record = groups_.at(step.group).record;
    return change;
  }
  change.record.id = "g-" + random_.identifier().substr(0, 8);
  change.record.service = service;
  change.record.pool = pool_;
  change.record.model = spec.name;
  change.record.version = spec.version;
  change.record.fabric_domain = step.fabric_domain;
  change.record.data_centre = step.data_centre;
  change.record.members.resize(step.assignments.size());
  return change;
}

void pool_table::apply_step(const placement_step& step, const documents::model_spec& spec,
                            pending_change& change) {
  group_record& record = change.record;
  record.reason = step.reason;
  const auto assign_rank = [&](const rank_assignment& assignment) {
    const std::string& previous = record.members[assignment.rank].instance;
    if (!previous.empty())
      release_instance(change, previous);
    record.members[assignment.rank] = assignment.member;
  };
  switch (step.kind) {
  case step_kind::form:
  case step_kind::replace:
    for (const rank_assignment& assignment : step.assignments) {
      release_standbys(change, assignment.rank);
      assign_rank(assignment);
      assign_instance(change, assignment.member.instance);
    }
    record.state = group_state::loading;
    record.number = next_number();
    return;
  case step_kind::prepare:
    for (const rank_assignment& assignment : step.assignments) {
      release_standbys(change, assignment.rank);
      record.standbys.push_back({assignment.rank, assignment.member});
      assign_instance(change, assignment.member.instance);
    }
    return;
  case step_kind::promote:
    for (const rank_assignment& assignment : step.assignments) {
      assign_rank(assignment);
      std::erase_if(record.standbys, [&assignment](const group_standby& standby) {
        return standby.rank == assignment.rank;
      });
    }
    record.state = group_state::loading;
    record.number = next_number();
    return;
  case step_kind::drain:
    record.state = group_state::draining;
    return;
  case step_kind::reload:
    record.model = spec.name;
    record.version = spec.version;
    record.state = group_state::loading;
    record.number = next_number();
    return;
  case step_kind::dissolve:
    record.state = group_state::dissolved;
    for (const targets::group_member& member : record.members)
      release_instance(change, member.instance);
    for (const group_standby& standby : record.standbys)
      release_instance(change, standby.member.instance);
    return;
  }
}

support::task<bool> pool_table::write(placement_step step, std::string service,
                                      documents::model_spec spec) {
  if (step.kind != step_kind::form && !groups_.contains(step.group))
    co_return false;
  pending_change change = begin_change(step, service, spec);
  apply_step(step, spec, change);
  support::log_event(support::log_level::info, "placement_step",
                     {{"step", to_string(step.kind)},
                      {"group", change.record.id},
                      {"number", std::to_string(change.record.number)},
                      {"reason", step.reason}});
  co_return co_await commit(std::move(change));
}

support::task<bool> pool_table::set_state(std::string group, group_state state,
                                          std::string reason) {
  pending_change change;
  change.record = groups_.at(group).record;
  change.record.state = state;
  change.record.reason = std::move(reason);
  co_return co_await commit(std::move(change));
}

support::task<bool> pool_table::commit(pending_change change) {
  const group_record& record = change.record;
  const std::string key = group_key(pool_, record.id);
  const auto cached = groups_.find(record.id);
  change.transaction.checks.push_back(lease_.ownership_check());
  change.transaction.checks.push_back(
      {key, cached == groups_.end() ? 0 : cached->second.row_version});
  change.transaction.writes.push_back({key, record.to_json()});
  change.transaction.writes.push_back(table::make_index_write(pool_group_prefix(pool_)));
  // Until the commit is answered, the state of the rows is unknown.
  loaded_ = false;
  const table::commit_result result = co_await store_.commit(change.transaction);
  if (!result.committed)
    co_return false;
  loaded_ = true;
  if (record.state == group_state::dissolved)
    groups_.erase(record.id);
  else
    groups_[record.id] = {record, result.version};
  for (const std::string& instance : change.freed)
    instances_.erase(instance);
  for (const std::string& instance : change.assigned)
    instances_[instance] = {record.id, result.version};
  rows_.update_if_newer({key, record.to_json(), result.version});
  co_return true;
}

} // namespace camphorlug::groups
