#include "camphorlug/replicas/replica_keeper.h"

#include "camphorlug/support/log.h"

namespace camphorlug::replicas {

static constexpr std::chrono::milliseconds planning_interval{100};
static constexpr std::chrono::milliseconds renewal_interval{500};
static constexpr std::chrono::milliseconds candidate_interval{400};

support::task<> replica_keeper::run() {
  for (;;) {
    if (context_.holding.held())
      lead();
    co_await context_.time.sleep_for(planning_interval);
  }
}

support::task<> replica_keeper::keep_lease() {
  for (;;) {
    if (context_.holding.held()) {
      co_await context_.time.sleep_for(renewal_interval);
      if (context_.holding.held())
        co_await context_.holding.renew();
      continue;
    }
    if (!stepping_down_ && !context_.other_leads()) {
      const bool acquired = co_await context_.holding.try_acquire();
      if (acquired)
        continue;
    }
    co_await context_.time.sleep_for(candidate_interval);
  }
}

support::task<> replica_keeper::step_down() {
  stepping_down_ = true;
  co_await context_.holding.release();
}

void replica_keeper::lead() {
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
    const planning_view view{*service.engine, context_.registry.all(),
                             context_.traffic_has_begun()};
    for (replica_order& order : planner->plan(view))
      support::spawn(context_.executor, "order " + order.target,
                     send(name, std::move(order), fence));
  }
}

support::task<> replica_keeper::send(std::string service, replica_order order,
                                     std::uint64_t fence) {
  const auto still_leads = [this, fence] {
    return context_.holding.held() && context_.holding.number() == fence;
  };
  const order_result result = co_await context_.orders.send(order, fence, still_leads);
  support::log_event(support::log_level::info, "order",
                     {{"target", order.target},
                      {"kind", to_string(order.kind)},
                      {"group", order.group},
                      {"model", order.model},
                      {"fence", std::to_string(fence)},
                      {"result", to_string(result)},
                      {"reason", order.reason}});
  if (term_ == fence)
    planners_.at(service)->take_result(order, result);
}

} // namespace camphorlug::replicas
