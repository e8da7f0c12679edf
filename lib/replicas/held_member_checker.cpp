#include "camphorlug/replicas/held_member_checker.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::replicas {

using gateway::member_sighting;
using gateway::membership_state;
using gateway::target_entry;
using gateway::target_registry;

static bool confirms(const instance_report& report, const target_entry& entry) {
  const auto& now = report.membership;
  const auto& before = entry.membership;
  return !report.leaving && report.started_at_ms == entry.started_at_ms && now && before &&
         now->group == before->group && now->epoch == before->epoch && now->rank == before->rank &&
         (now->state == membership_state::ready || now->state == membership_state::open);
}

static const char* describe(report_result::outcome kind, bool confirmed) {
  switch (kind) {
  case report_result::outcome::answered:
    return confirmed ? "member" : "no member";
  case report_result::outcome::refused:
    return "refused";
  case report_result::outcome::unanswered:
    return "no answer";
  }
  return "no answer";
}

bool held_member_checker::is_due(const gateway::held_member& held, std::size_t place) const {
  const auto known = members_.find(held.entry.id);
  if (known == members_.end() && members_.size() >= max_members)
    return false;
  if (known != members_.end() && time_.now() - known->second.asked_at < check_interval)
    return false;
  if (place == 0)
    return true;
  const auto limit = held.was_seen ? takeover_age : first_takeover_age;
  return place == 1 && time_.now() - held.seen_at >= limit;
}

void held_member_checker::update(std::optional<std::size_t> place) {
  const auto now = time_.now();
  std::erase_if(members_, [&](const auto& each) {
    return now - std::max(each.second.asked_at, each.second.seen_at) >=
           target_registry::sighting_lifetime;
  });
  for (gateway::held_member& held : registry_.held_members()) {
    const bool may_add = members_.contains(held.entry.id) || members_.size() < max_members;
    if (may_add && group_progresses_(held.entry))
      record(held.entry, true);
    if (!place || !is_due(held, *place))
      continue;
    members_[held.entry.id].asked_at = now;
    const std::string name = "check " + held.entry.id;
    support::spawn(executor_, name, check(std::move(held.entry)));
  }
}

support::task<> held_member_checker::check(target_entry entry) {
  const report_result result = co_await prober_.report(entry);
  const bool answered = result.kind == report_result::outcome::answered;
  const bool confirmed = answered && confirms(result.report, entry);
  support::log_event(support::log_level::info, "member_checked",
                     {{"target", entry.id}, {"result", describe(result.kind, confirmed)}});
  // No answer may be the fault of this node or its links. Without another answer the hold ends.
  if (result.kind == report_result::outcome::unanswered)
    co_return;
  record(entry, confirmed);
}

void held_member_checker::record(const target_entry& entry, bool is_member) {
  checked_member& member = members_[entry.id];
  member.was_seen = true;
  member.seen_at = time_.now();
  member.sighting = {entry.started_at_ms, entry.membership->epoch, is_member, {}};
  registry_.apply_sighting(entry.id, member.sighting);
}

gateway::member_sightings held_member_checker::sightings() const {
  gateway::member_sightings found;
  for (const auto& [id, member] : members_) {
    const auto age = time_.now() - member.seen_at;
    if (!member.was_seen || age >= target_registry::sighting_lifetime)
      continue;
    member_sighting& sighting = found[id] = member.sighting;
    sighting.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  }
  return found;
}

} // namespace camphorlug::replicas
