#include "camphorlug/gateway/target_chooser.h"

#include "camphorlug/gateway/fleet_roles.h"

#include <algorithm>

namespace camphorlug::gateway {

// Costs are fractions of a target's slots.

/// Cost added to targets outside the local data centre, because traffic between data centres is
/// charged: one is chosen only when the local targets are fuller by this fraction of their slots.
static constexpr double remote_penalty = 0.15;
/// Cost added to a target that has just started, because it is slow at first: it counts as fuller
/// by this fraction of its slots.
static constexpr double warm_up_penalty = 0.3;
/// Maximum random cost, which keeps nodes with the same load data from choosing the same target.
static constexpr double jitter = 0.02;
/// Larger pools are sampled instead of scanned, to limit the cost of a choice.
static constexpr std::size_t max_scanned_pool = 48;
/// Number of random targets from the local data centre, and the same number from all. The least
/// loaded of these is nearly as good as the least loaded of thousands.
static constexpr int samples_per_scope = 6;
/// The same number when loads are summed up over hubs and are several hundred milliseconds old.
static constexpr int samples_per_scope_with_old_loads = 2;

bool target_chooser::has_unusable_member(const target_pool& pool,
                                         const serving_group& group) const {
  return std::any_of(group.members.begin(), group.members.end(), [&](const std::string& id) {
    const target_entry* member = registry_.find(id);
    return member && !is_usable(pool, member->data_centre);
  });
}

std::vector<target_chooser::candidate> target_chooser::candidates(const target_pool& pool) {
  std::vector<candidate> found;
  double cold_rate = 0;
  if (config_ && config_->current()) {
    const auto service = config_->current()->services.find(pool.service);
    if (service != config_->current()->services.end())
      cold_rate = service->second.cold_requests_per_second;
  }
  const auto add = [&](const registered_target& target, std::uint64_t epoch) {
    const target_entry& entry = target.entry;
    const bool is_warming_up = entry.warm_up_remaining > std::chrono::milliseconds(0);
    found.push_back({{entry.id, entry.address, entry.slots, epoch, entry.started_at_ms},
                     entry.data_centre,
                     entry.data_centre == data_centre_,
                     is_warming_up,
                     {target.cold_until, target.was_cold ? cold_rate : 0}});
  };
  if (!pool.model.empty()) {
    for (const serving_group& group : groups_.serving(pool.service, pool.model)) {
      const auto head = registry_.all().find(group.members.front());
      if (head != registry_.all().end() && !has_unusable_member(pool, group))
        add(head->second, group.epoch);
    }
    return found;
  }
  for (const auto& [id, target] : registry_.all()) {
    if (target.entry.service == pool.service && !target.entry.draining &&
        is_usable(pool, target.entry.data_centre))
      add(target, 0);
  }
  return found;
}

const target_chooser::pool_view& target_chooser::view_of(const target_pool& pool) {
  static const pool_view none;
  const std::uint64_t revision = groups_.revision();
  const std::uint64_t evacuation_revision = evacuations_.revision();
  const auto cached = views_.find(pool);
  if (cached != views_.end() && cached->second.revision == revision &&
      cached->second.evacuation_revision == evacuation_revision)
    return cached->second;
  pool_view view;
  view.revision = revision;
  view.evacuation_revision = evacuation_revision;
  view.candidates = candidates(pool);
  if (view.candidates.empty()) {
    // Callers may request any model name; don't cache names without targets.
    views_.erase(pool);
    return none;
  }
  const auto remote_begin =
      std::stable_partition(view.candidates.begin(), view.candidates.end(),
                            [](const candidate& each) { return each.is_local; });
  view.local_count = static_cast<std::size_t>(remote_begin - view.candidates.begin());
  for (const candidate& each : view.candidates)
    view.slots += each.target.slots;
  return views_[pool] = std::move(view);
}

double target_chooser::cost(const candidate& each) {
  const double load = static_cast<double>(loads_.in_flight(each.target.id)) /
                      static_cast<double>(std::max<std::size_t>(each.target.slots, 1));
  return load + (each.is_local ? 0.0 : remote_penalty) + (each.warming_up ? warm_up_penalty : 0.0);
}

void target_chooser::update_selection(const candidate& each, const std::set<std::string>& avoided,
                                      bool with_suspects, selection& chosen) {
  if (avoided.contains(each.target.id) || !has_free_slot(each) || paused(each) ||
      (!with_suspects && suspicions_.suspected(each.target.id)))
    return;
  const double total_cost = cost(each) + jitter * random_.uniform_real();
  if (!chosen.best || total_cost < chosen.cost)
    chosen = {&each, total_cost};
}

const target_chooser::candidate& target_chooser::random_candidate(const pool_view& view,
                                                                  bool local_only) {
  return view.candidates[random_.below(local_only ? view.local_count : view.candidates.size())];
}

target_chooser::selection target_chooser::sample(const pool_view& view,
                                                 const std::set<std::string>& avoided) {
  selection chosen;
  const bool has_old_loads = !fleet_roles::is_full_mesh(node_count_);
  if (view.candidates.empty() || (!has_old_loads && view.candidates.size() <= max_scanned_pool))
    return chosen;
  const int samples = has_old_loads ? samples_per_scope_with_old_loads : samples_per_scope;
  for (int i = 0; i < samples; ++i) {
    update_selection(random_candidate(view, false), avoided, false, chosen);
    if (view.local_count > 0)
      update_selection(random_candidate(view, true), avoided, false, chosen);
  }
  return chosen;
}

bool target_chooser::has_unsuspected(const pool_view& view, const std::set<std::string>& avoided) {
  return std::any_of(view.candidates.begin(), view.candidates.end(), [&](const candidate& each) {
    return !avoided.contains(each.target.id) && !paused(each) &&
           !suspicions_.suspected(each.target.id);
  });
}

std::optional<chosen_target> target_chooser::choose(const target_pool& pool,
                                                    const std::set<std::string>& avoided) {
  const pool_view& view = view_of(pool);
  selection chosen = sample(view, avoided);
  const auto scan = [&](bool with_suspects) {
    for (const candidate& each : view.candidates)
      update_selection(each, avoided, with_suspects, chosen);
  };
  if (!chosen.best)
    scan(/*with_suspects=*/false);
  // A target that fails each request at once always has free slots. If it got the requests for
  // which the others have none, nearly all of them would fail.
  if (!chosen.best && !has_unsuspected(view, avoided))
    scan(/*with_suspects=*/true);
  return chosen.best ? std::optional(chosen.best->target) : std::nullopt;
}

std::vector<target_chooser::candidate> target_chooser::usable(const target_pool& pool) {
  std::vector<candidate> found;
  for (const candidate& each : view_of(pool).candidates) {
    // A limit is divided among the nodes, so each of them sends its share by itself.
    const bool is_limited = limits_.is_limited(each.target.id, each.target.started_at_ms);
    if (!is_limited && !refused_until(each) && !suspicions_.suspected(each.target.id))
      found.push_back(each);
  }
  return found;
}

std::vector<std::string> target_chooser::ids(const target_pool& pool) {
  std::vector<std::string> found;
  for (const candidate& each : view_of(pool).candidates)
    found.push_back(each.target.id);
  return found;
}

std::optional<chosen_target> target_chooser::find_usable(const target_pool& pool,
                                                         const std::string& id) {
  for (const candidate& each : view_of(pool).candidates) {
    if (each.target.id == id && !refused_until(each))
      return each.target;
  }
  return std::nullopt;
}

void target_chooser::count(const target_pool& pool, const std::string& id) {
  if (!cold_)
    return;
  for (const candidate& each : view_of(pool).candidates) {
    if (each.target.id == id)
      cold_->count(id, each.cold);
  }
}

bool target_chooser::any_cold(const target_pool& pool) {
  const std::vector<candidate>& all = view_of(pool).candidates;
  return cold_ && std::any_of(all.begin(), all.end(),
                              [&](const candidate& each) { return cold_->is_bounded(each.cold); });
}

bool target_chooser::accepts_requests(const chosen_target& chosen) const {
  const target_entry* entry = registry_.find(chosen.id);
  return entry && !entry->draining && !evacuations_.is_closed(entry->data_centre) &&
         !pauses_.end(chosen.id, chosen.started_at_ms);
}

std::optional<support::clock::time_point>
target_chooser::paused_until(const target_pool& pool, const std::set<std::string>& avoided) {
  if (pauses_.empty() && limits_.empty() && !any_cold(pool))
    return std::nullopt;
  return earliest_end(pool, avoided, [this](const candidate& each) { return paused_until(each); });
}

std::optional<support::clock::time_point>
target_chooser::refused_until(const target_pool& pool, const std::set<std::string>& avoided) {
  if (pauses_.empty() && limits_.empty())
    return std::nullopt;
  return earliest_end(pool, avoided, [this](const candidate& each) { return refused_until(each); });
}

bool target_chooser::withholds_cold(const target_pool& pool, const std::set<std::string>& avoided) {
  const std::vector<candidate>& all = view_of(pool).candidates;
  return cold_ && std::any_of(all.begin(), all.end(), [&](const candidate& each) {
           return cold_->is_bounded(each.cold) && !avoided.contains(each.target.id) &&
                  !refused_until(each) && has_free_slot(each);
         });
}

template<class end_function>
std::optional<support::clock::time_point>
target_chooser::earliest_end(const target_pool& pool, const std::set<std::string>& avoided,
                             const end_function& end_of) {
  auto earliest = support::clock::time_point::max();
  bool any_pauses = false;
  for (const candidate& each : view_of(pool).candidates) {
    const auto end = end_of(each);
    any_pauses = any_pauses || end;
    if (avoided.contains(each.target.id))
      continue;
    if (!end)
      return std::nullopt;
    earliest = std::min(earliest, *end);
  }
  return any_pauses ? std::optional(earliest) : std::nullopt;
}

std::size_t target_chooser::slots(const target_pool& pool) {
  return view_of(pool).slots;
}

bool target_chooser::has_free_slot(const target_pool& pool) {
  const pool_view& view = view_of(pool);
  // Most pools have free slots; a scan from a random start finds one quickly.
  const std::size_t size = view.candidates.size();
  const std::size_t start = size > 0 ? random_.below(size) : 0;
  for (std::size_t i = 0; i < size; ++i) {
    const candidate& each = view.candidates[(start + i) % size];
    if (has_free_slot(each) && !paused(each))
      return true;
  }
  return false;
}

double target_chooser::free_share(const target_pool& pool) {
  const std::vector<candidate>& all = view_of(pool).candidates;
  std::size_t free = 0;
  std::size_t total = 0;
  const std::size_t examined = std::min(all.size(), max_scanned_pool);
  for (std::size_t i = 0; i < examined; ++i) {
    const candidate& each = all[all.size() > max_scanned_pool ? random_.below(all.size()) : i];
    total += each.target.slots;
    if (has_free_slot(each) && !paused(each) && !suspicions_.suspected(each.target.id))
      free += each.target.slots - loads_.in_flight(each.target.id);
  }
  return total == 0 ? 0 : static_cast<double>(free) / static_cast<double>(total);
}

std::set<std::string> target_chooser::cold_ids(const target_pool& pool) {
  std::set<std::string> found;
  for (const candidate& each : view_of(pool).candidates) {
    if (each.warming_up || (cold_ && cold_->is_bounded(each.cold)))
      found.insert(each.target.id);
  }
  return found;
}

bool target_chooser::has_unsuspected_slot(const target_pool& pool,
                                          const std::set<std::string>& avoided) {
  const std::vector<candidate>& candidates = view_of(pool).candidates;
  return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& each) {
    return !avoided.contains(each.target.id) && !suspicions_.suspected(each.target.id) &&
           has_free_slot(each) && !paused(each);
  });
}

} // namespace camphorlug::gateway
