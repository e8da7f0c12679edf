#pragma once

#include "camphorlug/groups/group_record.h"
#include "camphorlug/groups/lease.h"
#include "camphorlug/groups/placement_step.h"
#include "camphorlug/groups/pool_state.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/table/row_cache.h"
#include "camphorlug/table/table_store.h"

#include <cstdint>
#include <map>
#include <string>

namespace camphorlug::groups {

/// A group and the version of the row that it was read from.
struct cached_group_row {
  group_record record;
  std::uint64_t row_version = 0;
};

/// The group that an instance's row assigns it to, and the version of that row.
struct cached_instance_row {
  std::string group;
  std::uint64_t row_version = 0;
};

/// The lease holder's copy of a pool's group and instance rows.
///
/// Group and instance rows change together in one transaction that also checks
/// the lease. This alone guarantees that no instance is assigned to two groups.
class pool_table {
public:
  pool_table(table::table_store& store, table::row_cache& rows, const lease& pool_lease,
             support::random_source& random, std::string pool);

  /// Reads all rows of the pool. Throws table::store_error if that fails.
  support::task<> load();

  /// Marks the copy as outdated, so that the next planning pass reads it again.
  void invalidate() { loaded_ = false; }
  bool loaded() const { return loaded_; }

  /// Writes one step. Returns false if one of its rows has changed in the
  /// meantime. Throws table::store_error if the commit fails.
  support::task<bool> write(placement_step step, std::string service, documents::model_spec spec);

  /// Moves a group to `state`. Returns false if its row has changed in the
  /// meantime. Throws table::store_error if the commit fails.
  support::task<bool> set_state(std::string group, group_state state, std::string reason);

  const std::string& pool() const { return pool_; }

  /// Groups that are not dissolved, by id.
  const std::map<std::string, cached_group_row>& groups() const { return groups_; }
  /// Instances that a row assigns to a group, by id.
  const std::map<std::string, cached_instance_row>& instances() const { return instances_; }

  /// Returns a fencing number at least as large as that of any order issued under
  /// this lease.
  std::uint64_t newest_number() const;

private:
  struct pending_change;
  void load_group(const table::row& row);
  void load_instance(const table::row& row);
  std::uint64_t next_number();
  pending_change begin_change(const placement_step& step, const std::string& service,
                              const documents::model_spec& spec);
  void apply_step(const placement_step& step, const documents::model_spec& spec,
                  pending_change& change);
  void assign_instance(pending_change& change, const std::string& instance);
  void release_instance(pending_change& change, const std::string& instance);
  /// Takes the standbys of `rank` out of the group and frees their instances.
  void release_standbys(pending_change& change, std::size_t rank);
  support::task<bool> commit(pending_change change);

  table::table_store& store_;
  table::row_cache& rows_;
  const lease& lease_;
  support::random_source& random_;
  std::string pool_;
  std::map<std::string, cached_group_row> groups_;
  std::map<std::string, cached_instance_row> instances_;
  std::uint64_t sequence_ = 0;
  bool loaded_ = false;
};

} // namespace camphorlug::groups
