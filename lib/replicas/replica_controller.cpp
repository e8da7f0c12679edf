#include "camphorlug/replicas/replica_controller.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <set>

namespace camphorlug::replicas {

static constexpr std::chrono::milliseconds planning_interval{100};
/// Minimum time between two probes of an instance, since each probe is charged for.
static constexpr std::chrono::milliseconds probe_interval{1000};
static constexpr std::chrono::milliseconds renewal_interval{500};
static constexpr std::chrono::milliseconds acquisition_interval{400};

support::task<> replica_controller::run() {
  for (;;) {
    if (context_.lease.held())
      plan_services();
    co_await context_.time.sleep_for(planning_interval);
  }
}

support::task<> replica_controller::keep_lease() {
  for (;;) {
    if (context_.lease.held()) {
      co_await context_.time.sleep_for(renewal_interval);
      if (context_.lease.held() && !context_.reaches_targets()) {
        co_await context_.lease.release();
        continue;
      }
      if (context_.lease.held())
        co_await context_.lease.renew();
      continue;
    }
    if (!stepping_down_ && context_.reaches_targets() && !context_.another_node_leads()) {
      const bool acquired = co_await context_.lease.try_acquire();
      if (acquired)
        continue;
    }
    co_await context_.time.sleep_for(acquisition_interval);
  }
}

support::task<> replica_controller::step_down() {
  stepping_down_ = true;
  co_await context_.lease.release();
}

void replica_controller::plan_services() {
  const auto& config = context_.config.current();
  if (!config || !context_.registry.was_read() || stepping_down_ || !context_.reaches_targets())
    return;
  const std::uint64_t term = context_.lease.number();
  if (current_in_term_ != term) {
    if (std::exchange(refreshing_in_term_, term) != term)
      support::spawn(context_.executor, "refresh_entries", refresh_entries(term));
    return;
  }
  const bool new_term = std::exchange(term_, term) != term;
  for (const auto& [name, service] : config->services) {
    if (!service.engine)
      continue;
    auto& planner = planners_[name];
    const bool created = !planner;
    if (created)
      planner = std::make_unique<replica_planner>(context_.time, name);
    if (new_term || created)
      planner->begin_term(term, context_.lease.is_first_term());
    probe_suspect_instances(name, *planner);
    for (replica_order& order : planner->plan(make_planning_input(service))) {
      const std::string task_name = "order " + order.target;
      support::spawn(context_.executor, task_name, send(name, std::move(order), term));
    }
  }
}

support::task<> replica_controller::refresh_entries(std::uint64_t term) {
  while (context_.lease.held() && context_.lease.number() == term) {
    const bool answered = co_await context_.refresh_entries();
    if (answered) {
      current_in_term_ = std::max(current_in_term_, term);
      co_return;
    }
    co_await context_.time.sleep_for(planning_interval);
  }
}

planning_input replica_controller::make_planning_input(const gateway::service_spec& service) const {
  planning_input input{*service.engine,
                       context_.registry.all(),
                       context_.traffic_started(),
                       {},
                       context_.evacuated_data_centres()};
  const gateway::slot_demand demand = context_.demand();
  if (demand.empty())
    return input;
  for (const gateway::model_profile& model : service.engine->models)
    input.slots_needed[model.name] = 0;
  for (const auto& [pool, slots] : demand) {
    if (pool.service == service.name && input.slots_needed.contains(pool.model))
      input.slots_needed[pool.model] = slots;
  }
  return input;
}

void replica_controller::probe_suspect_instances(const std::string& service,
                                                 replica_planner& planner) {
  std::set<std::string> suspects;
  const std::vector<std::string> stalled_heads = context_.stalled_heads();
  for (const planned_group& group : planner.planned_groups()) {
    const std::string& head = group.members.front().id;
    if (std::find(stalled_heads.begin(), stalled_heads.end(), head) == stalled_heads.end())
      continue;
    for (const planned_member& member : group.members)
      suspects.insert(member.id);
  }
  for (const std::string& id : planner.unresponsive_instances())
    suspects.insert(id);
  for (const std::string& id : suspects) {
    const gateway::target_entry* entry = context_.registry.find(id);
    auto& last = probed_at_[id];
    if (!entry || context_.time.now() - last < probe_interval)
      continue;
    last = context_.time.now();
    support::spawn(context_.executor, "probe " + id, probe(service, *entry));
  }
}

support::task<> replica_controller::probe(std::string service, gateway::target_entry entry) {
  const std::string id = entry.id;
  const bool answers = co_await context_.prober.probe(std::move(entry));
  planners_.at(service)->record_probe_result(id, answers);
}

support::task<> replica_controller::send(std::string service, replica_order order,
                                         std::uint64_t term) {
  const auto still_leads = [this, term] {
    return context_.lease.held() && context_.lease.number() == term;
  };
  const order_result result = co_await context_.orders.send(order, still_leads);
  support::log_event(support::log_level::info, "order",
                     {{"target", order.target},
                      {"kind", to_string(order.kind)},
                      {"group", order.group},
                      {"model", order.model},
                      {"fence", std::to_string(order.fence)},
                      {"result", to_string(result)},
                      {"reason", order.reason}});
  if (term_ == term)
    planners_.at(service)->record_order_result(order, result);
}

} // namespace camphorlug::replicas
