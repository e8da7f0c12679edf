#include "camphorlug/replicas/replica_controller.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <set>

namespace camphorlug::replicas {

static constexpr std::chrono::milliseconds planning_interval{100};
/// An instance is asked for a sign of life at most this often.
static constexpr std::chrono::milliseconds probe_interval{1000};
static constexpr std::chrono::milliseconds renewal_interval{500};
static constexpr std::chrono::milliseconds candidate_interval{400};

support::task<> replica_controller::run() {
  for (;;) {
    if (context_.holding.held())
      lead();
    co_await context_.time.sleep_for(planning_interval);
  }
}

support::task<> replica_controller::keep_lease() {
  for (;;) {
    if (context_.holding.held()) {
      co_await context_.time.sleep_for(renewal_interval);
      if (context_.holding.held())
        co_await context_.holding.renew();
      continue;
    }
    if (!stepping_down_ && !context_.another_node_leads()) {
      const bool acquired = co_await context_.holding.try_acquire();
      if (acquired)
        continue;
    }
    co_await context_.time.sleep_for(candidate_interval);
  }
}

support::task<> replica_controller::step_down() {
  stepping_down_ = true;
  co_await context_.holding.release();
}

void replica_controller::lead() {
  const auto& config = context_.config.current();
  if (!config || !context_.registry.was_read() || stepping_down_)
    return;
  const std::uint64_t fence = context_.holding.number();
  const bool new_term = std::exchange(term_, fence) != fence;
  for (const auto& [name, service] : config->services) {
    if (!service.engine)
      continue;
    auto& planner = planners_[name];
    const bool created = !planner;
    if (created)
      planner = std::make_unique<replica_planner>(context_.time, name);
    if (new_term || created)
      planner->begin_term(fence, fence == 1);
    question(name, *planner);
    for (replica_order& order : planner->plan(view_of(service))) {
      const std::string task_name = "order " + order.target;
      support::spawn(context_.executor, task_name, send(name, std::move(order), fence));
    }
  }
}

planning_input replica_controller::view_of(const gateway::service_spec& service) const {
  planning_input view{*service.engine, context_.registry.all(), context_.traffic_started(), {}};
  const gateway::slot_demand demand = context_.demand();
  if (demand.empty())
    return view;
  for (const gateway::model_profile& model : service.engine->models)
    view.slots_needed[model.name] = 0;
  for (const auto& [pool, slots] : demand) {
    if (pool.service == service.name && view.slots_needed.contains(pool.model))
      view.slots_needed[pool.model] = slots;
  }
  return view;
}

void replica_controller::question(const std::string& service, replica_planner& planner) {
  std::set<std::string> asked;
  const std::vector<std::string> stalled = context_.stalled();
  for (const planned_group& group : planner.planned_groups()) {
    const std::string& head = group.members.front().id;
    if (std::find(stalled.begin(), stalled.end(), head) == stalled.end())
      continue;
    for (const planned_member& member : group.members)
      asked.insert(member.id);
  }
  for (const std::string& id : planner.silent())
    asked.insert(id);
  for (const std::string& id : asked) {
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
  const bool answers = co_await context_.prober.answers(std::move(entry));
  planners_.at(service)->record_probe_result(id, answers);
}

support::task<> replica_controller::send(std::string service, replica_order order,
                                         std::uint64_t fence) {
  const auto still_leads = [this, fence] {
    return context_.holding.held() && context_.holding.number() == fence;
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
  if (term_ == fence)
    planners_.at(service)->record_order_result(order, result);
}

} // namespace camphorlug::replicas
