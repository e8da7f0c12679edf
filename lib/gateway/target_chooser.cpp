#include "camphorlug/gateway/target_chooser.h"

#include <limits>

namespace camphorlug::gateway {

/// A target elsewhere is chosen when the own data centre's are this much of
/// their slots fuller: bytes between data centres are paid for.
static constexpr double near_preference = 0.15;
/// A target that has just started is slow, so it counts as fuller by this much.
static constexpr double warm_up_penalty = 0.3;

struct target_chooser::candidate {
  chosen_target target;
  std::size_t in_flight = 0;
  bool near = false;
  bool warming_up = false;
};

std::vector<target_chooser::candidate> target_chooser::candidates(const target_pool& pool) {
  std::vector<candidate> found;
  const auto add = [&](const target_entry& entry, std::uint64_t epoch) {
    found.push_back({{entry.id, entry.address, entry.slots, epoch},
                     loads_.in_flight(entry.id),
                     entry.data_centre == data_centre_,
                     entry.warm_up_left > std::chrono::milliseconds(0)});
  };
  if (!pool.model.empty()) {
    for (const serving_group& group : groups_.serving(pool.service, pool.model)) {
      if (const target_entry* head = registry_.find(group.members.front()))
        add(*head, group.epoch);
    }
    return found;
  }
  for (const auto& [id, target] : registry_.all()) {
    if (target.entry.service == pool.service && !target.entry.draining)
      add(target.entry, 0);
  }
  return found;
}

double target_chooser::cost(const candidate& each) const {
  const double load = static_cast<double>(each.in_flight) /
                      static_cast<double>(std::max<std::size_t>(each.target.slots, 1));
  return load + (each.near ? 0.0 : near_preference) + (each.warming_up ? warm_up_penalty : 0.0);
}

std::optional<chosen_target> target_chooser::choose(const target_pool& pool,
                                                    const std::set<std::string>& avoided) {
  const candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  const std::vector<candidate> all = candidates(pool);
  for (const bool with_suspects : {false, true}) {
    for (const candidate& each : all) {
      const bool excluded = avoided.contains(each.target.id) ||
                            each.in_flight >= each.target.slots ||
                            (!with_suspects && suspicions_.suspected(each.target.id));
      // The jitter keeps nodes that see the same loads from choosing the same target.
      const double price = cost(each) + 0.02 * random_.unit();
      if (excluded || price >= best_cost)
        continue;
      best = &each;
      best_cost = price;
    }
    if (best)
      return best->target;
  }
  return std::nullopt;
}

std::size_t target_chooser::slots(const target_pool& pool) {
  std::size_t sum = 0;
  for (const candidate& each : candidates(pool))
    sum += each.target.slots;
  return sum;
}

std::size_t target_chooser::in_flight(const target_pool& pool) {
  std::size_t sum = 0;
  for (const candidate& each : candidates(pool))
    sum += each.in_flight;
  return sum;
}

} // namespace camphorlug::gateway
