#include "camphorlug/gateway/crash_cause_list.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <utility>

namespace camphorlug::gateway {

void crash_cause_list::record_answer(const std::string& service,
                                     const std::vector<std::string>& parts) {
  const auto now = time_.now();
  if (answers_.size() >= remembered_answers)
    older_answers_ = std::exchange(answers_, {});
  for (const std::string& part : parts) {
    answers_[{service, part}] = now;
    evidence_.clear({service, part}, now);
  }
}

std::optional<support::clock::time_point>
crash_cause_list::last_answer(const crash_cause& part) const {
  for (const auto* generation : {&answers_, &older_answers_}) {
    if (const auto found = generation->find(part); found != generation->end())
      return found->second;
  }
  return std::nullopt;
}

void crash_cause_list::add_suspects(crash_record& record, const std::vector<std::string>& parts,
                                    support::clock::time_point sent_at) const {
  const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(time_.now() - sent_at);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto [suspect, is_new] =
        record.suspects.try_emplace(parts[i], crash_suspect{i, waited, false});
    if (!is_new)
      suspect->second.waited = std::min(suspect->second.waited, waited);
  }
}

void crash_cause_list::record_loss(const std::string& service,
                                   const std::vector<std::string>& parts, const target_start& start,
                                   support::clock::time_point sent_at) {
  if (parts.empty())
    return;
  const auto [pending, is_new] =
      pending_.try_emplace(start, pending_crash{{service, time_.now(), {}}});
  add_suspects(pending->second.record, parts, sent_at);
}

std::vector<target_start> crash_cause_list::take_unconfirmed() {
  std::vector<target_start> starts;
  for (auto& [start, pending] : pending_) {
    if (!std::exchange(pending.asked, true))
      starts.push_back(start);
  }
  return starts;
}

void crash_cause_list::confirm(const target_start& start, bool crashed) {
  const auto pending = pending_.find(start);
  if (pending == pending_.end())
    return;
  if (crashed)
    pending->second.confirmed = true;
  else
    pending_.erase(pending);
}

void crash_cause_list::update() {
  for (auto each = pending_.begin(); each != pending_.end();) {
    auto& [start, pending] = *each;
    const auto age = time_.now() - pending.record.crashed_at;
    if (age < (pending.confirmed ? publication_delay : confirmation_timeout)) {
      ++each;
      continue;
    }
    std::erase_if(pending.record.suspects, [&, &record = pending.record](const auto& suspect) {
      const auto answered_at = last_answer({record.service, suspect.first});
      return answered_at && *answered_at > record.crashed_at;
    });
    if (pending.confirmed && !pending.record.suspects.empty()) {
      std::string parts;
      for (const auto& [part, suspect] : pending.record.suspects)
        parts += " " + part;
      support::log_event(support::log_level::warning, "target_crashed_under_requests",
                         {{"target", start.target}, {"parts", parts}});
      evidence_.merge(start, pending.record);
      log_changes();
    }
    each = pending_.erase(each);
  }
}

void crash_cause_list::clear_answered() {
  std::map<crash_cause, support::clock::time_point> answered;
  for (const auto& [start, record] : evidence_.records()) {
    for (const auto& [part, suspect] : record.suspects) {
      if (const auto answered_at = last_answer({record.service, part}))
        answered.emplace(crash_cause{record.service, part}, *answered_at);
    }
  }
  for (const auto& [part, answered_at] : answered)
    evidence_.clear(part, answered_at);
}

bool crash_cause_list::merge_json(const std::string& text) {
  const bool changed = evidence_.merge_json(text, time_.now());
  if (changed) {
    clear_answered();
    log_changes();
  }
  return changed;
}

void crash_cause_list::lift(const crash_cause& part) {
  for (auto& [start, pending] : pending_) {
    if (pending.record.service == part.service)
      pending.record.suspects.erase(part.id);
  }
  evidence_.clear(part, support::clock::time_point::max());
  log_changes();
}

std::optional<std::string>
crash_cause_list::find_banned(const std::string& service,
                              const std::vector<std::string>& parts) const {
  const auto& harmful = evidence_.proven_causes();
  if (harmful.empty())
    return std::nullopt;
  const auto banned = std::find_if(parts.begin(), parts.end(), [&](const std::string& part) {
    return harmful.contains({service, part});
  });
  return banned == parts.end() ? std::nullopt : std::optional(*banned);
}

void crash_cause_list::log_changes() {
  const auto& harmful = evidence_.proven_causes();
  const auto log_each = [](const auto& from, const auto& absent_in, std::string_view event) {
    for (const auto& [part, crashes] : from) {
      if (!absent_in.contains(part))
        support::log_event(
            support::log_level::warning, event,
            {{"service", part.service}, {"part", part.id}, {"crashes", std::to_string(crashes)}});
    }
  };
  log_each(harmful, logged_, "prompt_part_banned");
  log_each(logged_, harmful, "prompt_part_ban_ended");
  logged_ = harmful;
}

} // namespace camphorlug::gateway
