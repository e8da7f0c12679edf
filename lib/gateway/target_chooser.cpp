#include "camphorlug/gateway/target_chooser.h"

#include <algorithm>

namespace camphorlug::gateway {

/// A target elsewhere is chosen when the own data centre's are this much of
/// their slots fuller: bytes between data centres are paid for.
static constexpr double near_preference = 0.15;
/// A target that has just started is slow, so it counts as fuller by this much.
static constexpr double warm_up_penalty = 0.3;
/// Keeps nodes that see the same loads from choosing the same target.
static constexpr double jitter = 0.02;
/// Larger pools are looked at by sample; all of today's pools are smaller.
static constexpr std::size_t largest_scanned_pool = 48;
/// Targets that are drawn from the own data centre, and as many from all: the
/// least loaded of so many is nearly as good as that of thousands.
static constexpr int drawn_targets = 6;

std::vector<target_chooser::candidate> target_chooser::candidates(const target_pool& pool) {
  std::vector<candidate> found;
  const auto add = [&](const target_entry& entry, std::uint64_t epoch) {
    found.push_back({{entry.id, entry.address, entry.slots, epoch},
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

const target_chooser::pool_view& target_chooser::view_of(const target_pool& pool) {
  static const pool_view none;
  const std::uint64_t revision = groups_.revision();
  const auto known = views_.find(pool);
  if (known != views_.end() && known->second.revision == revision)
    return known->second;
  pool_view view;
  view.revision = revision;
  view.candidates = candidates(pool);
  if (view.candidates.empty()) {
    // Callers may name any model; nothing is kept for those that do not exist.
    views_.erase(pool);
    return none;
  }
  const auto far = std::stable_partition(view.candidates.begin(), view.candidates.end(),
                                         [](const candidate& each) { return each.near; });
  view.near = static_cast<std::size_t>(far - view.candidates.begin());
  for (const candidate& each : view.candidates)
    view.slots += each.target.slots;
  return views_[pool] = std::move(view);
}

double target_chooser::cost(const candidate& each) {
  const double load = static_cast<double>(loads_.in_flight(each.target.id)) /
                      static_cast<double>(std::max<std::size_t>(each.target.slots, 1));
  return load + (each.near ? 0.0 : near_preference) + (each.warming_up ? warm_up_penalty : 0.0);
}

void target_chooser::consider(const candidate& each, const std::set<std::string>& avoided,
                              bool with_suspects, selection& chosen) {
  if (avoided.contains(each.target.id) || !has_room(each) ||
      (!with_suspects && suspicions_.suspected(each.target.id)))
    return;
  const double price = cost(each) + jitter * random_.uniform_real();
  if (!chosen.best || price < chosen.cost)
    chosen = {&each, price};
}

const target_chooser::candidate& target_chooser::draw(const pool_view& view, bool near) {
  return view.candidates[random_.below(near ? view.near : view.candidates.size())];
}

std::optional<chosen_target> target_chooser::choose(const target_pool& pool,
                                                    const std::set<std::string>& avoided) {
  const pool_view& view = view_of(pool);
  selection chosen;
  if (view.candidates.size() > largest_scanned_pool) {
    for (int i = 0; i < drawn_targets; ++i) {
      consider(draw(view, false), avoided, false, chosen);
      if (view.near > 0)
        consider(draw(view, true), avoided, false, chosen);
    }
  }
  for (const bool with_suspects : {false, true}) {
    if (chosen.best)
      return chosen.best->target;
    for (const candidate& each : view.candidates)
      consider(each, avoided, with_suspects, chosen);
  }
  return chosen.best ? std::optional(chosen.best->target) : std::nullopt;
}

std::size_t target_chooser::slots(const target_pool& pool) {
  return view_of(pool).slots;
}

bool target_chooser::has_room(const target_pool& pool) {
  const pool_view& view = view_of(pool);
  // Most pools have room, and then a random start finds it soon.
  const std::size_t size = view.candidates.size();
  const std::size_t start = size > 0 ? random_.below(size) : 0;
  for (std::size_t i = 0; i < size; ++i) {
    if (has_room(view.candidates[(start + i) % size]))
      return true;
  }
  return false;
}

bool target_chooser::has_sound_room(const target_pool& pool, const std::set<std::string>& avoided) {
  const std::vector<candidate>& candidates = view_of(pool).candidates;
  return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& each) {
    return !avoided.contains(each.target.id) && !suspicions_.suspected(each.target.id) &&
           has_room(each);
  });
}

} // namespace camphorlug::gateway
