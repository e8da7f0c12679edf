#include "camphorlug/edge/state_report.h"

#include <algorithm>

namespace camphorlug::edge {

using nlohmann::ordered_json;

static std::int64_t to_ms(std::chrono::nanoseconds span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

static std::int64_t age_ms(const support::clock& time, support::clock::time_point since) {
  return to_ms(time.now() - since);
}

static ordered_json routes_to_json(const gateway::routing_config& config) {
  ordered_json routes = ordered_json::array();
  for (const auto& route : config.routes()) {
    ordered_json services = ordered_json::object();
    for (const gateway::weighted_service& each : route->services)
      services[each.service] = each.weight;
    routes.push_back({{"route", route->name},
                      {"host", route->host},
                      {"path_prefix", route->path_prefix},
                      {"repeatable", route->repeatable()},
                      {"attempts", route->attempts},
                      {"timeout_ms", route->timeout.count()},
                      {"services", std::move(services)}});
  }
  return routes;
}

static ordered_json config_to_json(const state_report_input& state) {
  const auto& config = state.config.current();
  if (!config)
    return nullptr;
  return {{"version", config->version},
          {"age_ms", age_ms(state.time, state.config.taken_at())},
          {"routes", routes_to_json(*config)}};
}

static ordered_json groups_to_json(const state_report_input& state) {
  ordered_json groups = ordered_json::array();
  if (!state.config.current())
    return groups;
  for (const auto& [name, service] : state.config.current()->services) {
    if (!service.engine)
      continue;
    for (const gateway::model_profile& model : service.engine->models) {
      for (const gateway::serving_group& group : state.groups.serving(name, model.name))
        groups.push_back({{"group", group.group},
                          {"epoch", group.epoch},
                          {"service", name},
                          {"model", group.model},
                          {"members", group.members},
                          {"in_flight", state.loads.in_flight(group.members.front())}});
    }
  }
  return groups;
}

static ordered_json target_to_json(const state_report_input& state,
                                   const gateway::registered_target& target) {
  const gateway::target_entry& entry = target.entry;
  ordered_json report{{"target", entry.id},
                      {"service", entry.service},
                      {"data_centre", entry.data_centre},
                      {"row_version", target.version},
                      {"row_age_ms", age_ms(state.time, target.read_at)},
                      {"draining", entry.draining},
                      {"missing", target.missing_since.has_value()},
                      {"held", target.held_until.has_value()},
                      {"suspected", state.suspicions.suspected(entry.id)},
                      {"in_flight", state.loads.in_flight(entry.id)},
                      {"model", target.resident_model}};
  if (entry.membership)
    report["membership"] = {{"group", entry.membership->group},
                            {"epoch", entry.membership->epoch},
                            {"rank", entry.membership->rank},
                            {"state", to_string(entry.membership->state)}};
  return report;
}

static ordered_json peers_to_json(const state_report_input& state) {
  ordered_json peers = ordered_json::array();
  for (const auto& [id, peer] : state.others)
    peers.push_back({{"node", id},
                     {"data_centre", peer.status.data_centre},
                     {"heard_ms_ago", age_ms(state.time, peer.heard_at)},
                     {"ready", peer.status.ready},
                     {"leaving", peer.status.leaving},
                     {"hub", state.roles.is_hub(id)},
                     {"reads_store", state.roles.is_reader(id)},
                     {"leads", state.others_summary.leader == id},
                     {"config", peer.config_version}});
  return peers;
}

/// Time since the store last answered this node or one that relays its rows; null if never.
static ordered_json store_answer_age_ms(const state_report_input& state) {
  auto age = state.others_summary.store_answer_age;
  if (state.store_answered_at) {
    const std::chrono::milliseconds own(age_ms(state.time, *state.store_answered_at));
    age = age ? std::min(*age, own) : own;
  }
  return age ? ordered_json(age->count()) : ordered_json(nullptr);
}

static ordered_json retries_to_json(const state_report_input& state) {
  ordered_json budgets = ordered_json::array();
  for (const auto& [service, budget] : state.retries.budgets())
    budgets.push_back({{"service", service},
                       {"requests", budget.requests},
                       {"retries", budget.retries},
                       {"bound", budget.bound}});
  return budgets;
}

/// The bans with the crashes that speak for each, oldest first.
static ordered_json banned_parts_to_json(const state_report_input& state) {
  ordered_json bans = ordered_json::array();
  for (const auto& [part, crashes] : state.crashes.proven_causes()) {
    ordered_json targets = ordered_json::array();
    for (const auto& [start, record] : state.crashes.records()) {
      if (record.accuses(part))
        targets.push_back(
            {{"target", start.target}, {"age_ms", age_ms(state.time, record.crashed_at)}});
    }
    std::sort(targets.begin(), targets.end(), [](const ordered_json& left, const auto& right) {
      return left["age_ms"].template get<std::int64_t>() >
             right["age_ms"].template get<std::int64_t>();
    });
    bans.push_back({{"service", part.service},
                    {"part", part.id},
                    {"crashes", crashes},
                    {"targets", std::move(targets)}});
  }
  return bans;
}

static ordered_json evacuations_to_json(const state_report_input& state) {
  ordered_json evacuations = ordered_json::array();
  for (const auto& [data_centre, known] : state.evacuations.known()) {
    if (known.is_evacuated)
      evacuations.push_back({{"data_centre", data_centre},
                             {"row_version", known.version},
                             {"age_ms", known.age.count()},
                             {"closed", state.evacuations.is_closed(data_centre)}});
  }
  return evacuations;
}

/// The targets that are cold, those that stay so longest first.
static ordered_json cold_targets_to_json(const state_report_input& state) {
  std::vector<std::pair<std::int64_t, const gateway::target_entry*>> cold;
  for (const auto& [id, target] : state.registry.all()) {
    if (const std::int64_t left = -age_ms(state.time, target.cold_until); left > 0)
      cold.emplace_back(left, &target.entry);
  }
  std::sort(cold.begin(), cold.end(), [](const auto& one, const auto& other) {
    return std::pair(-one.first, one.second->id) < std::pair(-other.first, other.second->id);
  });
  ordered_json targets = ordered_json::array();
  for (const auto& [left, entry] : cold)
    targets.push_back(
        {{"target", entry->id}, {"data_centre", entry->data_centre}, {"left_ms", left}});
  return targets;
}

ordered_json make_state_report(const state_report_input& state) {
  ordered_json targets = ordered_json::array();
  for (const auto& [id, target] : state.registry.all())
    targets.push_back(target_to_json(state, target));
  ordered_json report{{"node", state.self.id},
                      {"data_centre", state.self.data_centre},
                      {"ready", state.self.ready},
                      {"leaving", state.self.leaving},
                      {"hub", state.roles.is_hub(state.self.id)},
                      {"reads_store", state.roles.is_reader(state.self.id)},
                      {"waiting_requests", state.waiting_requests},
                      {"store_answered_ms_ago", store_answer_age_ms(state)},
                      {"config_staleness_ms", to_ms(state.config_staleness)},
                      {"target_staleness_ms", to_ms(state.target_staleness)},
                      {"store_era", state.store_era},
                      {"lease",
                       {{"held_here", state.lease.held()},
                        {"number", state.lease.number()},
                        {"last_holder", state.lease.last_holder()}}},
                      {"config", config_to_json(state)},
                      {"groups", groups_to_json(state)},
                      {"targets", std::move(targets)},
                      {"peers", peers_to_json(state)},
                      {"evacuations", evacuations_to_json(state)},
                      {"cold_targets", cold_targets_to_json(state)},
                      {"known_nodes", state.cold_targets.known_nodes()},
                      {"heard_part", state.cold_targets.heard_fraction()},
                      {"banned_parts", banned_parts_to_json(state)},
                      {"unreachable_services", state.paths.lost_services()},
                      {"retries", retries_to_json(state)}};
  return report;
}

} // namespace camphorlug::edge
