#include "camphorlug/groups/order_sender.h"

#include "camphorlug/support/log.h"
#include "camphorlug/support/shutdown_exception.h"

#include <algorithm>

namespace camphorlug::groups {

using targets::group_member;
using targets::instance_order;
using targets::order_action;

/// Weight of a new load time in the exponential moving average.
static constexpr double load_estimate_smoothing = 0.3;

/// An order to be sent to an instance.
struct order_sender::pending_order {
  std::string instance;
  std::string address;
  instance_order order;
  /// Whether the instance has to load a shard to follow the order.
  bool needs_load = false;
  /// Members of the group that are not ready. Orders of the groups with the fewest
  /// are sent first.
  std::size_t unready_members = 0;
};

order_sender::order_sender(asio::any_io_executor executor, support::clock& time,
                           targets::target_client& targets,
                           const watching::observation_cache& observations,
                           const watching::instance_directory& directory, const lease& pool_lease)
    : executor_(std::move(executor)), time_(time), targets_(targets), observations_(observations),
      directory_(directory), lease_(pool_lease) {}

static bool reports_membership(const targets::instance_report& report, const group_record& record,
                               std::size_t rank) {
  return report.group == record.id && report.number == record.number && report.rank == rank &&
         report.version == record.version;
}

static bool holds_shard(const targets::instance_report& report, const group_record& record,
                        std::size_t rank) {
  return report.ready && report.model == record.model && report.version == record.version &&
         report.rank == rank;
}

void order_sender::collect_group_orders(const group_record& record,
                                        std::vector<pending_order>& pending) const {
  std::size_t unready = 0;
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    const watching::observation* seen = observations_.find(record.members[rank].instance);
    unready +=
        !seen || !reports_membership(seen->report, record, rank) || !seen->report.ready ? 1 : 0;
  }
  const auto add = [&](const group_member& member, std::size_t rank, order_action action) {
    const watching::observation* seen = observations_.find(member.instance);
    if (!seen || seen->absent || reports_membership(seen->report, record, rank))
      return;
    pending.push_back(
        {member.instance,
         member.address,
         {action, record.id, record.number, rank, record.members, record.model, record.version},
         !holds_shard(seen->report, record, rank),
         unready});
  };
  for (std::size_t rank = 0; rank < record.members.size(); ++rank)
    add(record.members[rank], rank, order_action::join);
  for (const group_standby& standby : record.standbys)
    add(standby.member, standby.rank, order_action::prepare);
}

/// Collects release orders for instances of the table's pool that report a group
/// although no row assigns them to one.
void order_sender::collect_release_orders(const pool_table& table,
                                          std::vector<pending_order>& pending) const {
  for (const auto& [id, seen] : observations_.all()) {
    const table::listed_instance* listed = directory_.find(id);
    const bool is_unassigned = listed && listed->role == table::instance_role::runner &&
                               listed->pool == table.pool() && !seen.absent &&
                               !seen.report.group.empty() && !table.instances().contains(id);
    if (is_unassigned)
      pending.push_back({id,
                         listed->address,
                         {order_action::release, "", table.newest_number(), 0, {}, "", ""},
                         false,
                         0});
  }
}

std::vector<order_sender::pending_order>
order_sender::collect_orders(const pool_table& table) const {
  std::vector<pending_order> pending;
  for (const auto& [id, cached] : table.groups())
    collect_group_orders(cached.record, pending);
  collect_release_orders(table, pending);
  std::stable_sort(pending.begin(), pending.end(),
                   [](const pending_order& left, const pending_order& right) {
                     return left.unready_members < right.unready_members;
                   });
  return pending;
}

std::size_t order_sender::loads_in_progress(const pool_table& table) const {
  std::size_t loads = 0;
  for (const auto& [id, cached] : table.instances()) {
    const watching::observation* seen = observations_.find(id);
    loads += seen && !seen->absent && seen->report.group == cached.group && !seen->report.ready;
  }
  return loads;
}

void order_sender::update_load_estimate() {
  for (auto entry = loading_since_.begin(); entry != loading_since_.end();) {
    const watching::observation* seen = observations_.find(entry->first);
    const bool lost = !seen || seen->absent;
    if (!lost && !(seen->report.ready && seen->seen_at > entry->second)) {
      ++entry;
      continue;
    }
    if (!lost) {
      const auto load_time =
          std::chrono::duration<double, std::nano>(seen->seen_at - entry->second);
      const auto estimate = std::chrono::duration<double, std::nano>(load_estimate_);
      load_estimate_ = std::chrono::duration_cast<std::chrono::nanoseconds>(
          estimate + (load_time - estimate) * load_estimate_smoothing);
    }
    entry = loading_since_.erase(entry);
  }
}

void order_sender::send_due_orders(const pool_table& table, std::size_t concurrent_loads) {
  update_load_estimate();
  std::size_t loads = loads_in_progress(table);
  for (pending_order& pending : collect_orders(table)) {
    if (pending.needs_load && loads >= concurrent_loads)
      continue;
    if (!in_flight_.insert(pending.instance).second)
      continue;
    loads += pending.needs_load ? 1 : 0;
    const std::string name = "order " + pending.instance;
    support::spawn(executor_, name, send_order(std::move(pending)));
  }
}

support::task<> order_sender::send_order(pending_order pending) {
  const auto sent_at = time_.now();
  const bool needs_load = pending.needs_load;
  try {
    const targets::order_result result = co_await targets_.order(
        pending.address, std::move(pending.order), order_timeout, [this] { return lease_.held(); });
    if (result == targets::order_result::accepted && needs_load)
      loading_since_[pending.instance] = sent_at;
    if (result != targets::order_result::accepted)
      support::log_event(support::log_level::warning, "order_refused",
                         {{"instance", pending.instance}});
  } catch (const support::shutdown_exception&) {
    throw;
  } catch (const std::exception& error) {
    // Whatever failed, the instance must not stay in flight, or it gets no order again.
    support::log_event(support::log_level::warning, "order_failed",
                       {{"instance", pending.instance}, {"error", error.what()}});
  }
  // Wait until the order can show in a report before it may be sent again.
  co_await time_.sleep_for(order_timeout);
  in_flight_.erase(pending.instance);
}

} // namespace camphorlug::groups
