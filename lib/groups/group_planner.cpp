#include "camphorlug/groups/group_planner.h"

#include "camphorlug/support/log.h"
#include "camphorlug/support/shutdown_exception.h"
#include "camphorlug/table/store_error.h"

namespace camphorlug::groups {

static constexpr std::chrono::milliseconds planning_interval{500};
static constexpr std::chrono::milliseconds renewal_interval{1500};
static constexpr std::chrono::milliseconds acquire_interval{1000};

/// Age of the last report above which an instance counts as silent.
static constexpr std::chrono::seconds silence_threshold{2};
/// Bounds of the time after which a silent member is replaced.
static constexpr std::chrono::milliseconds min_replacement_wait{2500};
static constexpr std::chrono::milliseconds max_replacement_wait{15'000};
/// A silent member is awaited for the estimated load time divided by this, since
/// replacing it costs a load.
static constexpr int replacement_wait_divisor = 4;

/// How long a group must have received no new requests before its engine's count
/// of running and waiting requests is trusted.
static constexpr std::chrono::seconds drain_settle_time{4};
/// Requests that are still running after this time are cut off.
static constexpr std::chrono::seconds max_drain_time{120};

group_planner::group_planner(planner_context context, std::string service, std::string pool)
    : context_(context), service_(std::move(service)), pool_(std::move(pool)),
      table_(context.store, context.rows, context.pool_lease, context.random, pool_),
      orders_(context.executor, context.time, context.targets, context.observations,
              context.directory, context.pool_lease) {
  status_.pool = pool_;
  status_.service = service_;
}

support::task<> group_planner::run() {
  for (;;) {
    co_await context_.time.sleep_for(planning_interval);
    try {
      if (context_.pool_lease.held())
        co_await plan_as_leader();
      else
        co_await try_acquire_lease();
    } catch (const table::store_error& error) {
      status_.waits_for = std::string("table service: ") + error.what();
    } catch (const support::shutdown_exception&) {
      throw;
    } catch (const std::exception& error) {
      // If planning ended here, the lease would be renewed and no other node would plan.
      status_.waits_for = std::string("a failed planning pass: ") + error.what();
      support::log_event(support::log_level::error, "planning_failed",
                         {{"pool", pool_}, {"error", error.what()}});
    }
    status_.leads = context_.pool_lease.held();
    status_.lease_number = status_.leads ? context_.pool_lease.number() : 0;
    status_.leader = context_.pool_lease.last_holder();
  }
}

support::task<> group_planner::keep_lease() {
  for (;;) {
    co_await context_.time.sleep_for(renewal_interval);
    if (context_.pool_lease.held())
      co_await context_.pool_lease.renew();
  }
}

support::task<> group_planner::step_down() {
  stepping_down_ = true;
  co_await context_.pool_lease.release();
}

support::task<> group_planner::try_acquire_lease() {
  table_.invalidate();
  status_.waits_for.clear();
  const auto now = context_.time.now();
  if (stepping_down_ || now - last_acquire_attempt_ < acquire_interval)
    co_return;
  last_acquire_attempt_ = now;
  const bool acquired = co_await context_.pool_lease.try_acquire();
  if (!acquired)
    co_return;
  leader_since_ = context_.time.now();
  status_updated_at_ = leader_since_;
}

support::task<> group_planner::plan_as_leader() {
  const auto in_force = context_.documents.find(service_);
  if (!in_force || !in_force->document.model || !context_.directory.was_read())
    co_return;
  const documents::model_spec spec = *in_force->document.model;
  const auto leader_for = context_.time.now() - leader_since_;
  // An order of the previous holder may still be in flight to an engine that does
  // not check fencing numbers, and this node needs time to see each instance.
  if (leader_for < order_sender::order_timeout)
    co_return;
  if (!table_.loaded())
    co_await table_.load();
  update_status(spec);
  treat_silence_as_loss_ = sees_half_of_members();
  status_.waits_for =
      treat_silence_as_loss_
          ? ""
          : "most members are silent, which suggests that this node lost connectivity";
  co_await mark_ready_groups_serving();
  co_await plan_and_write_steps(spec);
  orders_.send_due_orders(table_, spec.concurrent_loads);
}

support::task<> group_planner::plan_and_write_steps(const documents::model_spec& spec) {
  const std::vector<placement_step> steps = context_.policy.plan(snapshot_pool(spec));
  for (const placement_step& step : steps) {
    if (!context_.pool_lease.held())
      co_return;
    const bool written = co_await table_.write(step, service_, spec);
    if (!written) {
      // A row has changed since it was read: read all rows again before planning.
      table_.invalidate();
      co_return;
    }
  }
}

support::task<> group_planner::mark_ready_groups_serving() {
  std::vector<std::string> ready;
  for (const auto& [id, cached] : table_.groups()) {
    if (cached.record.state == group_state::loading && all_ready(cached.record))
      ready.push_back(id);
  }
  for (const std::string& id : ready) {
    const bool written =
        co_await table_.set_state(id, group_state::serving, "all members are ready");
    if (!written) {
      table_.invalidate();
      co_return;
    }
  }
}

bool group_planner::all_ready(const group_record& record) const {
  group_record as_serving = record;
  as_serving.state = group_state::serving;
  return context_.groups.unroutable_reason(as_serving).empty();
}

bool group_planner::sees_half_of_members() const {
  std::size_t seen = 0;
  std::size_t members = 0;
  for (const auto& [id, cached] : table_.instances()) {
    const watching::observation* observation = context_.observations.find(id);
    ++members;
    seen += observation && context_.time.now() - observation->seen_at < silence_threshold ? 1 : 0;
  }
  return 2 * seen >= members;
}

std::chrono::nanoseconds group_planner::replacement_wait() const {
  const std::chrono::nanoseconds preferred = orders_.load_estimate() / replacement_wait_divisor;
  return std::clamp<std::chrono::nanoseconds>(preferred, min_replacement_wait,
                                              max_replacement_wait);
}

instance_condition group_planner::condition_of(const table::listed_instance& listed) {
  const watching::observation* seen = context_.observations.find(listed.id);
  if (seen && seen->absent)
    return instance_condition::lost;
  const auto last = seen ? std::max(seen->seen_at, leader_since_) : leader_since_;
  const auto silent_for = context_.time.now() - last;
  if (silent_for > replacement_wait())
    return treat_silence_as_loss_ ? instance_condition::lost : instance_condition::silent;
  if (!seen || silent_for > silence_threshold)
    return instance_condition::silent;
  return listed.leaving || seen->report.leaving ? instance_condition::leaving
                                                : instance_condition::present;
}

pool_instance group_planner::snapshot_instance(const table::listed_instance& listed) {
  pool_instance instance;
  instance.id = listed.id;
  instance.address = listed.address;
  instance.fabric_domain = listed.fabric_domain;
  instance.data_centre = listed.data_centre;
  instance.condition = condition_of(listed);
  const auto row = table_.instances().find(listed.id);
  if (row != table_.instances().end())
    instance.group = row->second.group;
  const watching::observation* seen = context_.observations.find(listed.id);
  if (seen && !seen->report.version.empty())
    instance.shard = loaded_shard{seen->report.version, seen->report.rank};
  return instance;
}

bool group_planner::has_drained(const group_record& record) {
  const bool gets_new_requests = context_.groups.unroutable_reason(record).empty();
  if (gets_new_requests) {
    unroutable_since_.erase(record.id);
    return false;
  }
  const auto now = context_.time.now();
  const auto since = unroutable_since_.emplace(record.id, now).first->second;
  if (now - since > max_drain_time)
    return true;
  const watching::observation* rank_zero =
      context_.observations.find(record.members.front().instance);
  const bool idle = rank_zero && rank_zero->report.running + rank_zero->report.waiting == 0;
  return idle && now - since > drain_settle_time;
}

pool_group group_planner::snapshot_group(const cached_group_row& cached) {
  pool_group group{cached.record, has_drained(cached.record), {}};
  for (const group_standby& standby : cached.record.standbys) {
    const watching::observation* seen = context_.observations.find(standby.member.instance);
    if (seen && seen->report.ready && seen->report.group == cached.record.id &&
        seen->report.rank == standby.rank)
      group.prepared_ranks.push_back(standby.rank);
  }
  return group;
}

pool_state group_planner::snapshot_pool(const documents::model_spec& spec) {
  pool_state pool{service_, spec, {}, {}};
  for (const auto& [id, listed] : context_.directory.all()) {
    if (listed.pool == pool_ && listed.role == table::instance_role::runner)
      pool.instances.push_back(snapshot_instance(listed));
  }
  for (const auto& [id, cached] : table_.groups())
    pool.groups.push_back(snapshot_group(cached));
  return pool;
}

void group_planner::update_status(const documents::model_spec& spec) {
  const auto now = context_.time.now();
  std::size_t routable = 0;
  std::size_t routable_members = 0;
  for (const auto& [id, cached] : table_.groups()) {
    if (!context_.groups.unroutable_reason(cached.record).empty())
      continue;
    ++routable;
    routable_members += cached.record.members.size();
  }
  std::size_t live = 0;
  for (const auto& [id, listed] : context_.directory.all()) {
    const watching::observation* seen = context_.observations.find(id);
    live += listed.pool == pool_ && seen && !seen->absent &&
                    now - seen->seen_at < live_groups::max_report_age
                ? 1
                : 0;
  }
  status_.wanted_groups = spec.replicas;
  status_.routable_groups = routable;
  status_.stranded_instances = live > routable_members ? live - routable_members : 0;
  if (routable < spec.replicas)
    status_.group_downtime += (now - status_updated_at_) * (spec.replicas - routable);
  status_updated_at_ = now;
}

} // namespace camphorlug::groups
