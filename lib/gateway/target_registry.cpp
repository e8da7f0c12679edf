#include "camphorlug/gateway/target_registry.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>

namespace camphorlug::gateway {

/// What a target said of being cold is kept for this long after it is over, since what it gets
/// rises only gradually then.
static constexpr std::chrono::seconds noticed_cold_memory{30};

const char* to_string(membership_state state) {
  switch (state) {
  case membership_state::joining:
    return "joining";
  case membership_state::ready:
    return "ready";
  case membership_state::open:
    return "open";
  case membership_state::closing:
    return "closing";
  case membership_state::broken:
    return "broken";
  }
  return "broken";
}

static void log_target(std::string_view event, const std::string& id, std::uint64_t version) {
  support::log_event(support::log_level::info, event,
                     {{"target", id}, {"version", std::to_string(version)}});
}

/// Returns whether a row of a later era is an older state of the target than the one held: of an
/// earlier start, or an earlier one of the same start. The target will write its present state
/// again.
static bool is_older_copy(const registered_target& held, std::uint64_t version,
                          const std::optional<target_entry>& entry) {
  if (!entry || table::era_of(version) <= table::era_of(held.version))
    return false;
  return std::pair(entry->started_at_ms, entry->sequence) <
         std::pair(held.entry.started_at_ms, held.entry.sequence);
}

bool target_registry::is_restored_after_removal(const std::string& id, std::uint64_t version,
                                                const std::optional<target_entry>& entry) const {
  const auto found = removed_.find(id);
  if (found == removed_.end() || !entry)
    return false;
  const removal& last = found->second;
  if (table::era_of(version) <= table::era_of(last.version) || last.sequence == 0)
    return false;
  return std::pair(entry->started_at_ms, entry->sequence) <=
         std::pair(last.started_at_ms, last.sequence);
}

void target_registry::update(const std::string& id, std::uint64_t version,
                             std::optional<target_entry> entry) {
  newest_version_ = std::max(newest_version_, version);
  const auto removed = removed_.find(id);
  if (removed != removed_.end() && version <= removed->second.version)
    return;
  const auto held = targets_.find(id);
  if (held != targets_.end() && version < held->second.version)
    return;
  if (entry && entry->started_at_ms == 0 && named_starts_.contains(id))
    entry.reset();
  if (held == targets_.end() && is_restored_after_removal(id, version, entry))
    return;
  if (held != targets_.end() && is_older_copy(held->second, version, entry)) {
    confirm_unchanged(held->second, version);
    return;
  }
  if (!entry) {
    if (held != targets_.end())
      log_target("target_unusable", id, version);
    erase(id);
    return;
  }
  if (entry->started_at_ms != 0)
    named_starts_.insert(id);
  entry->draining = entry->draining || is_leaving(id, entry->started_at_ms);
  entry->warm_up_remaining = std::clamp<std::chrono::milliseconds>(
      entry->warm_up_remaining, std::chrono::milliseconds(0), max_cold_time);
  const bool is_new_report = held != targets_.end() &&
                             held->second.entry.started_at_ms == entry->started_at_ms &&
                             held->second.entry.sequence < entry->sequence;
  follow_departure(id, *entry, is_new_report);
  if (held != targets_.end()) {
    const bool was_read = version == held->second.version;
    if (!was_read || is_new_report)
      held->second.entry.sequence = entry->sequence;
    if (was_read || *entry == held->second.entry) {
      if (!was_read)
        follow_warm_up(held->second);
      confirm_unchanged(held->second, version);
      return;
    }
  }
  if (held == targets_.end())
    log_target("target_added", id, version);
  else if (held->second.entry.started_at_ms != entry->started_at_ms)
    log_target("target_restarted", id, version);
  else if (!held->second.entry.draining && entry->draining)
    log_target("target_draining", id, version);
  std::string resident_model = entry->model;
  if (resident_model.empty() && held != targets_.end() &&
      held->second.entry.started_at_ms == entry->started_at_ms)
    resident_model = held->second.resident_model;
  const bool is_same_start =
      held != targets_.end() && held->second.entry.started_at_ms == entry->started_at_ms;
  const bool is_cold = entry->warm_up_remaining > std::chrono::milliseconds(0);
  const bool is_counted_cold = is_same_start && time_.now() < held->second.cold_until;
  if (is_cold && !is_counted_cold)
    log_target("target_cold", id, version);
  const bool was_cold = is_cold || (is_same_start && held->second.was_cold);
  auto cold_until = time_.now() + entry->warm_up_remaining;
  // A row that names no remaining time ends one that is running, but not one that is over.
  if (!is_cold && is_same_start)
    cold_until = std::min(cold_until, held->second.row_cold_until);
  registered_target& updated = targets_[id];
  updated = {std::move(*entry),         version,    time_.now(), std::nullopt,
             std::move(resident_model), cold_until, was_cold,    cold_until};
  apply_cold_notice(updated);
  mark_changed();
}

void target_registry::follow_departure(const std::string& id, const target_entry& entry,
                                       bool is_new_report) {
  if (!entry.draining) {
    departures_.erase(id);
    return;
  }
  target_departure& departure = record_departure(id, entry.started_at_ms);
  departure.removed_at.reset();
  if (is_new_report)
    departure.reported_at = time_.now();
}

target_departure& target_registry::record_departure(const std::string& id,
                                                    std::int64_t started_at_ms) {
  const auto [place, is_new] =
      departures_.try_emplace(id, target_departure{started_at_ms, time_.now()});
  if (!is_new && place->second.started_at_ms != started_at_ms)
    place->second = {started_at_ms, time_.now()};
  return place->second;
}

std::optional<target_departure> target_registry::find_departure(const std::string& id,
                                                                std::int64_t started_at_ms) const {
  const auto found = departures_.find(id);
  if (found == departures_.end() || found->second.started_at_ms != started_at_ms)
    return std::nullopt;
  return found->second;
}

/// A row with the same remaining time as before was written later, so the time ends later.
void target_registry::follow_warm_up(registered_target& target) {
  if (target.entry.warm_up_remaining <= std::chrono::milliseconds(0))
    return;
  target.cold_until = target.row_cold_until = time_.now() + target.entry.warm_up_remaining;
  apply_cold_notice(target);
  mark_changed();
}

void target_registry::apply_cold_notice(registered_target& target) {
  const auto noticed = noticed_cold_.find(target.entry.id);
  if (noticed == noticed_cold_.end() || noticed->second.started_at_ms != target.entry.started_at_ms)
    return;
  target.cold_until = std::max(target.row_cold_until, noticed->second.until);
  target.was_cold = true;
}

bool target_registry::mark_cold(const std::string& id, const cold_notice& notice) {
  if (notice.remaining <= std::chrono::milliseconds(0))
    return false;
  const auto held = targets_.find(id);
  if (held != targets_.end() && notice.started_at_ms < held->second.entry.started_at_ms)
    return false;
  const auto until =
      time_.now() + std::min<std::chrono::milliseconds>(notice.remaining, max_cold_time);
  if (const auto known = noticed_cold_.find(id); known != noticed_cold_.end()) {
    const noticed_cold& noticed = known->second;
    const bool is_same_start = noticed.started_at_ms == notice.started_at_ms;
    if (notice.started_at_ms < noticed.started_at_ms ||
        (is_same_start && until <= noticed.until + cold_tolerance))
      return false;
  }
  noticed_cold_[id] = {notice.started_at_ms, until};
  if (held == targets_.end() || held->second.entry.started_at_ms != notice.started_at_ms)
    return true;
  if (held->second.cold_until <= time_.now())
    log_target("target_cold", id, held->second.version);
  apply_cold_notice(held->second);
  mark_changed();
  return true;
}

std::size_t target_registry::cold_count() const {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [now = time_.now()](const auto& each) {
        return now < each.second.cold_until;
      }));
}

cold_notices target_registry::cold_notices_to_report() const {
  cold_notices notices;
  for (const auto& [id, noticed] : noticed_cold_) {
    const auto held = targets_.find(id);
    const bool is_in_row =
        held != targets_.end() && noticed.until <= held->second.row_cold_until + cold_tolerance;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(noticed.until - time_.now());
    if (!is_in_row && left > std::chrono::milliseconds(0))
      notices[id] = {noticed.started_at_ms, left};
  }
  return notices;
}

/// Targets rewrite their rows periodically, mostly with the same content. Such a
/// rewrite keeps the revision, so that nothing derived from it is recomputed.
void target_registry::confirm_unchanged(registered_target& target, std::uint64_t version) {
  target.version = version;
  target.read_at = time_.now();
  target.held_until.reset();
  target.is_seen = false;
  if (std::exchange(target.missing_since, std::nullopt))
    mark_changed();
}

bool target_registry::mark_leaving(const std::string& id, std::int64_t started_at_ms) {
  if (is_leaving(id, started_at_ms))
    return false;
  leaving_[id] = started_at_ms;
  record_departure(id, started_at_ms);
  const auto held = targets_.find(id);
  log_target("target_leaving", id, held == targets_.end() ? 0 : held->second.version);
  if (held != targets_.end() && is_leaving(id, held->second.entry.started_at_ms)) {
    held->second.entry.draining = true;
    mark_changed();
  }
  return true;
}

bool target_registry::is_leaving(const std::string& id, std::int64_t started_at_ms) const {
  const auto found = leaving_.find(id);
  return found != leaving_.end() && started_at_ms <= found->second;
}

std::map<std::string, std::int64_t> target_registry::leaving() const {
  std::map<std::string, std::int64_t> registered;
  for (const auto& [id, started_at_ms] : leaving_) {
    const target_entry* entry = find(id);
    if (entry && entry->started_at_ms <= started_at_ms)
      registered.emplace(id, started_at_ms);
  }
  return registered;
}

bool target_registry::in_grace_period() const {
  return store_recovered_at_ && time_.now() - *store_recovered_at_ < outage_grace_period;
}

std::optional<std::chrono::nanoseconds> target_registry::store_recovery_age() const {
  if (!store_recovered_at_)
    return std::nullopt;
  return time_.now() - *store_recovered_at_;
}

/// The head gets requests, which nodes may not send to it for long after its row was removed.
static bool may_hold(const target_entry& entry) {
  return entry.membership && entry.membership->rank != 0 &&
         entry.membership->state == membership_state::ready && !entry.draining;
}

void target_registry::remove(const std::string& id, std::uint64_t version) {
  newest_version_ = std::max(newest_version_, version);
  named_starts_.erase(id);
  removal& removed = removed_[id];
  const auto held = targets_.find(id);
  const bool is_current = held != targets_.end() && held->second.version <= version;
  if (is_current) {
    removed.sequence = held->second.entry.sequence;
    removed.started_at_ms = held->second.entry.started_at_ms;
  }
  removed.version = std::max(removed.version, version);
  if (!is_current)
    return;
  registered_target& target = held->second;
  if (target.held_until)
    return;
  const bool is_held = may_hold(target.entry);
  if (is_held || (in_grace_period() && !target.entry.draining)) {
    target.missing_since = time_.now();
    if (is_held) {
      log_target("member_held", id, version);
      target.held_until = time_.now() + first_sighting_time;
      target.is_seen = group_progresses_ && group_progresses_(target.entry);
    }
    mark_changed();
    follow_sighting(id);
    return;
  }
  log_target("target_removed", id, version);
  record_departure(id, target.entry.started_at_ms).removed_at = time_.now();
  erase(id);
}

void target_registry::apply_sighting(const std::string& id, const member_sighting& sighting) {
  const auto seen_at = time_.now() - sighting.age;
  if (time_.now() - seen_at >= sighting_lifetime)
    return;
  const auto [place, is_new] = sightings_.try_emplace(id, seen_member{sighting, seen_at});
  seen_member& known = place->second;
  if (!is_new && !sighting.replaces(known.sighting, seen_at > known.seen_at))
    return;
  known = {sighting, seen_at};
  follow_sighting(id);
}

void target_registry::merge_sightings(const member_sightings& sightings) {
  for (const auto& [id, sighting] : sightings)
    apply_sighting(id, sighting);
}

void target_registry::follow_sighting(const std::string& id) {
  const auto seen = sightings_.find(id);
  const auto held = targets_.find(id);
  if (seen == sightings_.end() || held == targets_.end() || !held->second.held_until)
    return;
  registered_target& target = held->second;
  const auto& [sighting, seen_at] = seen->second;
  if (time_.now() - seen_at >= sighting_lifetime)
    return;
  if (sighting.started_at_ms != target.entry.started_at_ms ||
      sighting.epoch != target.entry.membership->epoch)
    return;
  if (!sighting.is_member) {
    end_hold(id, "it is no longer a member");
    return;
  }
  target.held_until = std::max(*target.held_until, seen_at + sighting_lifetime);
  if (!std::exchange(target.is_seen, true))
    mark_changed();
}

std::vector<held_member> target_registry::held_members() const {
  std::vector<held_member> members;
  for (const auto& [id, target] : targets_) {
    if (!target.held_until)
      continue;
    const auto seen = sightings_.find(id);
    const bool was_seen = seen != sightings_.end();
    members.push_back(
        {target.entry, was_seen ? seen->second.seen_at : *target.missing_since, was_seen});
  }
  return members;
}

void target_registry::end_hold(const std::string& id, const char* reason) {
  support::log_event(support::log_level::info, "member_hold_ended",
                     {{"target", id}, {"reason", reason}});
  if (!in_grace_period()) {
    erase(id);
    return;
  }
  targets_[id].held_until.reset();
  mark_changed();
}

void target_registry::retain(const std::set<std::string>& present, std::uint64_t version) {
  was_read_ = true;
  std::vector<std::string> missing;
  for (const auto& [id, target] : targets_) {
    if (!present.contains(id) && target.version <= version && !target.missing_since)
      missing.push_back(id);
  }
  for (const std::string& id : missing)
    remove(id, version);
}

void target_registry::expire() {
  std::erase_if(noticed_cold_, [this](const auto& each) {
    return time_.now() - each.second.until > noticed_cold_memory;
  });
  const auto now = time_.now();
  std::erase_if(departures_,
                [&](const auto& each) { return now - each.second.since > departure_memory; });
  std::erase_if(sightings_,
                [&](const auto& each) { return now - each.second.seen_at >= sighting_lifetime; });
  std::vector<std::string> unseen;
  std::vector<std::string> expired;
  for (const auto& [id, target] : targets_) {
    if (target.held_until && now >= *target.held_until)
      unseen.push_back(id);
    else if (target.missing_since && !target.held_until && !in_grace_period())
      expired.push_back(id);
  }
  for (const std::string& id : unseen)
    end_hold(id, "it was not seen for too long");
  for (const std::string& id : expired) {
    log_target("target_lapsed", id, targets_[id].version);
    erase(id);
  }
}

const target_entry* target_registry::find(const std::string& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second.entry;
}

void target_registry::erase(const std::string& id) {
  if (targets_.erase(id) > 0)
    mark_changed();
}

void target_registry::mark_changed() {
  ++revision_;
  for (const auto& listener : listeners_)
    listener();
}

} // namespace camphorlug::gateway
