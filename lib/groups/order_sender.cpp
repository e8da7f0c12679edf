#include "camphorlug/groups/order_sender.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::groups {

using targets::group_member;
using targets::instance_order;
using targets::order_action;

/// Share of a new load time in the running estimate.
static constexpr double estimate_gain = 0.3;

/// An order that an instance should get.
struct order_sender::wanted_order {
  std::string instance;
  std::string address;
  instance_order order;
  /// Whether the instance has to load a shard for it.
  bool needs_load = false;
  /// Members of the group that are not ready, for the order of loads.
  std::size_t group_missing = 0;
};

order_sender::order_sender(asio::any_io_executor executor, support::clock& time,
                           targets::target_client& targets,
                           const watching::observation_cache& board,
                           const watching::instance_directory& directory, const lease& holding)
    : executor_(std::move(executor)), time_(time), targets_(targets), board_(board),
      directory_(directory), lease_(holding) {}

static bool matches(const targets::instance_report& report, const group_record& record,
                    std::size_t rank) {
  return report.group == record.id && report.number == record.number && report.rank == rank &&
         report.version == record.version;
}

static bool holds_shard(const targets::instance_report& report, const group_record& record,
                        std::size_t rank) {
  return report.ready && report.model == record.model && report.version == record.version &&
         report.rank == rank;
}

void order_sender::collect_group(const group_record& record,
                                 std::vector<wanted_order>& wanted) const {
  std::size_t missing = 0;
  for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
    const watching::observation* seen = board_.find(record.members[rank].instance);
    missing += !seen || !matches(seen->report, record, rank) || !seen->report.ready ? 1 : 0;
  }
  const auto add = [&](const group_member& member, std::size_t rank, order_action action) {
    const watching::observation* seen = board_.find(member.instance);
    if (!seen || seen->absent || matches(seen->report, record, rank))
      return;
    wanted.push_back(
        {member.instance,
         member.address,
         {action, record.id, record.number, rank, record.members, record.model, record.version},
         !holds_shard(seen->report, record, rank),
         missing});
  };
  for (std::size_t rank = 0; rank < record.members.size(); ++rank)
    add(record.members[rank], rank, order_action::join);
  for (const group_standby& standby : record.standbys)
    add(standby.instance, standby.rank, order_action::prepare);
}

/// Instances that report a group although no row assigns them to one.
void order_sender::collect_strays(const pool_table& table,
                                  std::vector<wanted_order>& wanted) const {
  for (const auto& [id, seen] : board_.all()) {
    const table::listed_instance* listed = directory_.find(id);
    const bool is_stray = listed && listed->role == table::instance_role::runner && !seen.absent &&
                          !seen.report.group.empty() && !table.instances().contains(id);
    if (is_stray)
      wanted.push_back({id,
                        listed->address,
                        {order_action::release, "", table.newest_number(), 0, {}, "", ""},
                        false,
                        0});
  }
}

std::vector<order_sender::wanted_order> order_sender::collect(const pool_table& table) const {
  std::vector<wanted_order> wanted;
  for (const auto& [id, held] : table.groups())
    collect_group(held.record, wanted);
  collect_strays(table, wanted);
  std::stable_sort(wanted.begin(), wanted.end(),
                   [](const wanted_order& left, const wanted_order& right) {
                     return left.group_missing < right.group_missing;
                   });
  return wanted;
}

std::size_t order_sender::loads_in_progress(const pool_table& table) const {
  std::size_t loads = 0;
  for (const auto& [id, held] : table.instances()) {
    const watching::observation* seen = board_.find(id);
    loads += seen && !seen->absent && seen->report.group == held.group && !seen->report.ready;
  }
  return loads;
}

void order_sender::learn_load_times() {
  for (auto entry = loading_since_.begin(); entry != loading_since_.end();) {
    const watching::observation* seen = board_.find(entry->first);
    const bool lost = !seen || seen->absent;
    if (!lost && !(seen->report.ready && seen->seen_at > entry->second)) {
      ++entry;
      continue;
    }
    if (!lost) {
      const auto took = std::chrono::duration<double, std::nano>(seen->seen_at - entry->second);
      const auto before = std::chrono::duration<double, std::nano>(load_estimate_);
      load_estimate_ = std::chrono::duration_cast<std::chrono::nanoseconds>(
          before + (took - before) * estimate_gain);
    }
    entry = loading_since_.erase(entry);
  }
}

void order_sender::send_due(const pool_table& table, std::size_t concurrent_loads) {
  learn_load_times();
  std::size_t loads = loads_in_progress(table);
  for (wanted_order& wanted : collect(table)) {
    if (wanted.needs_load && loads >= concurrent_loads)
      continue;
    if (!in_flight_.insert(wanted.instance).second)
      continue;
    loads += wanted.needs_load ? 1 : 0;
    const std::string name = "order " + wanted.instance;
    support::spawn(executor_, name, send(std::move(wanted)));
  }
}

support::task<> order_sender::send(wanted_order wanted) {
  const auto sent_at = time_.now();
  const bool needs_load = wanted.needs_load;
  try {
    const targets::order_result result = co_await targets_.order(
        wanted.address, std::move(wanted.order), order_timeout, [this] { return lease_.held(); });
    if (result == targets::order_result::accepted && needs_load)
      loading_since_[wanted.instance] = sent_at;
    if (result != targets::order_result::accepted)
      support::log_event(support::log_level::warning, "order_refused",
                         {{"instance", wanted.instance}});
  } catch (const net::transport_error& error) {
    support::log_event(support::log_level::warning, "order_failed",
                       {{"instance", wanted.instance}, {"error", error.what()}});
  }
  // The report must have time to show the order before it is sent again.
  co_await time_.sleep_for(order_timeout);
  in_flight_.erase(wanted.instance);
}

} // namespace camphorlug::groups
