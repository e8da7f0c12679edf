#include "camphorlug/groups/group_planner.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"

namespace camphorlug::groups {

static constexpr std::chrono::milliseconds planning_interval{500};
static constexpr std::chrono::milliseconds renewal_interval{1500};
static constexpr std::chrono::milliseconds candidate_interval{1000};

/// Age of a sighting from which its instance counts as silent.
static constexpr std::chrono::seconds silence_after{2};
/// Bounds of the wait before a silent member is replaced.
static constexpr std::chrono::milliseconds shortest_replacement_wait{2500};
static constexpr std::chrono::milliseconds longest_replacement_wait{15'000};
/// Part of a load's time for which a silent member is worth waiting for.
static constexpr int load_time_per_wait = 4;

/// How long a group gets nothing new before its engine's count is believed.
static constexpr std::chrono::seconds drain_settle{4};
/// Requests that still run after this are cut.
static constexpr std::chrono::seconds longest_drain{120};

group_planner::group_planner(planner_context context, std::string service, std::string pool)
    : context_(context), service_(std::move(service)), pool_(std::move(pool)),
      table_(context.store, context.rows, context.holding, context.random, pool_),
      orders_(context.executor, context.time, context.targets, context.board, context.directory,
              context.holding) {
  status_.pool = pool_;
  status_.service = service_;
}

support::task<> group_planner::run() {
  for (;;) {
    co_await context_.time.sleep_for(planning_interval);
    try {
      if (context_.holding.held())
        co_await lead();
      else
        co_await follow();
    } catch (const table::store_error& error) {
      status_.waits_for = std::string("the table service: ") + error.what();
    }
    status_.leads = context_.holding.held();
    status_.lease_number = status_.leads ? context_.holding.number() : 0;
    status_.leader = context_.holding.last_holder();
  }
}

support::task<> group_planner::keep_lease() {
  for (;;) {
    co_await context_.time.sleep_for(renewal_interval);
    if (context_.holding.held())
      co_await context_.holding.renew();
  }
}

support::task<> group_planner::step_down() {
  stepping_down_ = true;
  co_await context_.holding.release();
}

support::task<> group_planner::follow() {
  table_.invalidate();
  status_.waits_for.clear();
  const auto now = context_.time.now();
  if (stepping_down_ || now - asked_lease_at_ < candidate_interval)
    co_return;
  asked_lease_at_ = now;
  const bool acquired = co_await context_.holding.try_acquire();
  if (!acquired)
    co_return;
  led_since_ = context_.time.now();
  measured_at_ = led_since_;
}

support::task<> group_planner::lead() {
  const auto in_force = context_.documents.find(service_);
  if (!in_force || !in_force->document.model || !context_.directory.was_read())
    co_return;
  const documents::model_spec spec = *in_force->document.model;
  const auto led_for = context_.time.now() - led_since_;
  // An order of the holder before may still be on its way to an engine that
  // ignores numbers; and each instance must have had the time to be seen.
  if (led_for < order_sender::order_timeout)
    co_return;
  if (!table_.loaded())
    co_await table_.load();
  measure(spec);
  silence_counts_ = sees_most_members();
  status_.waits_for =
      silence_counts_ ? "" : "most members are silent here, which points at this node";
  co_await confirm_serving();
  co_await write_steps(spec);
  orders_.send_due(table_, spec.concurrent_loads);
}

support::task<> group_planner::write_steps(const documents::model_spec& spec) {
  const std::vector<placement_step> steps = context_.policy.plan(observe(spec));
  for (const placement_step& step : steps) {
    if (!context_.holding.held())
      co_return;
    const bool written = co_await table_.write(step, service_, spec);
    if (!written) {
      // A row was not as it was read: read all again before deciding anything.
      table_.invalidate();
      co_return;
    }
  }
}

support::task<> group_planner::confirm_serving() {
  std::vector<std::string> ready;
  for (const auto& [id, held] : table_.groups()) {
    if (held.record.state == group_state::loading && all_ready(held.record))
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
  return context_.groups.obstacle(as_serving).empty();
}

bool group_planner::sees_most_members() const {
  std::size_t seen = 0;
  std::size_t members = 0;
  for (const auto& [id, held] : table_.instances()) {
    const watching::observation* observation = context_.board.find(id);
    ++members;
    seen += observation && context_.time.now() - observation->seen_at < silence_after ? 1 : 0;
  }
  return 2 * seen >= members;
}

std::chrono::nanoseconds group_planner::replacement_wait() const {
  const std::chrono::nanoseconds worth = orders_.load_estimate() / load_time_per_wait;
  return std::clamp<std::chrono::nanoseconds>(worth, shortest_replacement_wait,
                                              longest_replacement_wait);
}

instance_condition group_planner::condition_of(const table::listed_instance& listed) {
  const watching::observation* seen = context_.board.find(listed.id);
  if (seen && seen->absent)
    return instance_condition::lost;
  const auto last = seen ? std::max(seen->seen_at, led_since_) : led_since_;
  const auto silent_for = context_.time.now() - last;
  if (silent_for > replacement_wait())
    return silence_counts_ ? instance_condition::lost : instance_condition::silent;
  if (!seen || silent_for > silence_after)
    return instance_condition::silent;
  return listed.leaving || seen->report.leaving ? instance_condition::leaving
                                                : instance_condition::present;
}

pool_instance group_planner::observe_instance(const table::listed_instance& listed) {
  pool_instance instance;
  instance.id = listed.id;
  instance.address = listed.address;
  instance.fabric_domain = listed.fabric_domain;
  instance.data_centre = listed.data_centre;
  instance.condition = condition_of(listed);
  const auto row = table_.instances().find(listed.id);
  if (row != table_.instances().end())
    instance.group = row->second.group;
  const watching::observation* seen = context_.board.find(listed.id);
  if (seen && !seen->report.version.empty())
    instance.shard = loaded_shard{seen->report.version, seen->report.rank};
  return instance;
}

bool group_planner::has_drained(const group_record& record) {
  const bool gets_new_requests = context_.groups.obstacle(record).empty();
  if (gets_new_requests) {
    quiet_since_.erase(record.id);
    return false;
  }
  const auto now = context_.time.now();
  const auto since = quiet_since_.emplace(record.id, now).first->second;
  if (now - since > longest_drain)
    return true;
  const watching::observation* leader = context_.board.find(record.members.front().instance);
  const bool idle = leader && leader->report.running + leader->report.waiting == 0;
  return idle && now - since > drain_settle;
}

pool_group group_planner::observe_group(const held_group& held) {
  pool_group group{held.record, has_drained(held.record), {}};
  for (const group_standby& standby : held.record.standbys) {
    const watching::observation* seen = context_.board.find(standby.instance.instance);
    if (seen && seen->report.ready && seen->report.group == held.record.id &&
        seen->report.rank == standby.rank)
      group.prepared_ranks.push_back(standby.rank);
  }
  return group;
}

pool_state group_planner::observe(const documents::model_spec& spec) {
  pool_state pool{service_, spec, {}, {}};
  for (const auto& [id, listed] : context_.directory.all()) {
    if (listed.pool == pool_ && listed.role == table::instance_role::runner)
      pool.instances.push_back(observe_instance(listed));
  }
  for (const auto& [id, held] : table_.groups())
    pool.groups.push_back(observe_group(held));
  return pool;
}

void group_planner::measure(const documents::model_spec& spec) {
  const auto now = context_.time.now();
  std::size_t routable = 0;
  std::size_t working = 0;
  for (const auto& [id, held] : table_.groups()) {
    if (!context_.groups.obstacle(held.record).empty())
      continue;
    ++routable;
    working += held.record.members.size();
  }
  std::size_t live = 0;
  for (const auto& [id, listed] : context_.directory.all()) {
    const watching::observation* seen = context_.board.find(id);
    live += listed.pool == pool_ && seen && !seen->absent &&
                    now - seen->seen_at < live_groups::freshness
                ? 1
                : 0;
  }
  status_.wanted_groups = spec.replicas;
  status_.routable_groups = routable;
  status_.stranded_instances = live > working ? live - working : 0;
  if (routable < spec.replicas)
    status_.group_downtime += (now - measured_at_) * (spec.replicas - routable);
  measured_at_ = now;
}

} // namespace camphorlug::groups
