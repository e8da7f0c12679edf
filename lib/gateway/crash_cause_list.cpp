#include "camphorlug/gateway/crash_cause_list.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorlug::gateway {

/// Suspects of a crash that is not published yet. Most of them are cleared until then.
static constexpr std::size_t max_pending_suspects = 4 * crash_evidence::max_suspects_per_record;
static constexpr std::size_t max_logged_suspects = 32;

void crash_cause_list::record_answer(const std::string& service,
                                     const std::vector<std::string>& suspects) {
  const auto now = time_.now();
  if (answers_.size() >= remembered_answers)
    older_answers_ = std::exchange(answers_, {});
  std::map<crash_cause, support::clock::time_point> answers;
  for (const std::string& id : suspects) {
    const crash_cause cause = make_cause(service, id);
    answers_[cause] = now;
    answers.emplace(cause, now);
  }
  evidence_.apply_answers(answers);
}

std::optional<support::clock::time_point>
crash_cause_list::last_answer(const crash_cause& cause) const {
  for (const auto* generation : {&answers_, &older_answers_}) {
    if (const auto found = generation->find(cause); found != generation->end())
      return found->second;
  }
  return std::nullopt;
}

void crash_cause_list::add_suspects(crash_record& record, const std::vector<std::string>& suspects,
                                    support::clock::time_point sent_at) const {
  const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(time_.now() - sent_at);
  for (std::size_t i = 0; i < suspects.size() && record.suspects.size() < max_pending_suspects;
       ++i) {
    const auto [suspect, is_new] =
        record.suspects.try_emplace(suspects[i], crash_suspect{i, waited});
    if (last_answer(record.cause(suspects[i])))
      suspect->second.answered_before = true;
    if (!is_new)
      suspect->second.waited = std::min(suspect->second.waited, waited);
  }
}

void crash_cause_list::record_loss(const std::string& service,
                                   const std::vector<std::string>& suspects,
                                   const target_start& start, support::clock::time_point sent_at) {
  const auto [pending, is_new] =
      pending_.try_emplace(start, pending_crash{{service, time_.now(), {}}});
  add_suspects(pending->second.record, suspects, sent_at);
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

/// Lists the suspects, if they are not too many for a line.
static std::string describe_suspects(const crash_record& record) {
  std::string text;
  std::size_t listed = 0;
  for (const auto& [id, suspect] : record.suspects) {
    if (++listed > max_logged_suspects)
      return text + " and " + std::to_string(record.suspects.size() - max_logged_suspects) +
             " more";
    text += " " + id;
  }
  return text;
}

/// Keeps the suspects that are the cause most probably, if there are too many: those that other
/// crashes accuse, then those that were never answered.
void crash_cause_list::limit_suspects(crash_record& record) const {
  if (record.suspects.size() <= crash_evidence::max_suspects_per_record)
    return;
  std::set<crash_cause> accused;
  for (const auto& [start, published] : evidence_.records()) {
    for (const auto& [id, suspect] : published.suspects) {
      if (!suspect.cleared)
        accused.insert(published.cause(id));
    }
  }
  std::vector<std::pair<int, std::string>> by_rank;
  for (const auto& [id, suspect] : record.suspects) {
    const int rank = accused.contains(record.cause(id)) ? 0 : suspect.answered_before ? 2 : 1;
    by_rank.emplace_back(rank, id);
  }
  std::sort(by_rank.begin(), by_rank.end());
  for (std::size_t i = crash_evidence::max_suspects_per_record; i < by_rank.size(); ++i)
    record.suspects.erase(by_rank[i].second);
}

void crash_cause_list::update() {
  for (auto each = pending_.begin(); each != pending_.end();) {
    auto& [start, pending] = *each;
    std::erase_if(pending.record.suspects, [&, &record = pending.record](const auto& suspect) {
      const auto answered_at = last_answer(record.cause(suspect.first));
      return answered_at && *answered_at > record.crashed_at;
    });
    const auto age = time_.now() - pending.record.crashed_at;
    const bool publishes_now =
        age >= publication_delay || (pending.confirmed && supports_evidence(pending.record));
    if (!(pending.confirmed ? publishes_now : age >= confirmation_timeout)) {
      ++each;
      continue;
    }
    if (pending.confirmed && !pending.record.suspects.empty()) {
      limit_suspects(pending.record);
      support::log_event(support::log_level::warning, "target_crashed_under_requests",
                         {{"target", start.target}, {"parts", describe_suspects(pending.record)}});
      evidence_.merge(start, pending.record);
      log_changes();
    }
    each = pending_.erase(each);
  }
}

void crash_cause_list::apply_answers() {
  std::map<crash_cause, support::clock::time_point> answered;
  for (const auto& [start, record] : evidence_.records()) {
    for (const auto& [id, suspect] : record.suspects) {
      if (const auto answered_at = last_answer(record.cause(id)))
        answered.emplace(record.cause(id), *answered_at);
    }
  }
  evidence_.apply_answers(answered);
}

bool crash_cause_list::merge_json(const std::string& text) {
  const bool changed = evidence_.merge_json(text, time_.now());
  if (changed) {
    apply_answers();
    log_changes();
  }
  return changed;
}

bool crash_cause_list::supports_evidence(const crash_record& record) const {
  return std::any_of(evidence_.records().begin(), evidence_.records().end(), [&](const auto& each) {
    return std::any_of(record.suspects.begin(), record.suspects.end(), [&](const auto& suspect) {
      return each.second.accuses(record.cause(suspect.first));
    });
  });
}

void crash_cause_list::lift(const crash_cause& cause) {
  for (auto& [start, pending] : pending_) {
    if (pending.record.cause(cause.id) == cause)
      pending.record.suspects.erase(cause.id);
  }
  evidence_.apply_answers({{cause, support::clock::time_point::max()}});
  log_changes();
}

std::optional<std::string>
crash_cause_list::find_banned(const std::string& service,
                              const std::vector<std::string>& suspects) const {
  const auto& causes = evidence_.proven_causes();
  if (causes.empty())
    return std::nullopt;
  const auto banned = std::find_if(suspects.begin(), suspects.end(), [&](const std::string& id) {
    return causes.contains(make_cause(service, id));
  });
  return banned == suspects.end() ? std::nullopt : std::optional(*banned);
}

void crash_cause_list::log_changes() {
  const auto& causes = evidence_.proven_causes();
  const auto log_each = [](const auto& from, const auto& absent_in, std::string_view event) {
    for (const auto& [cause, crashes] : from) {
      if (!absent_in.contains(cause))
        support::log_event(
            support::log_level::warning, event,
            {{"service", cause.service}, {"part", cause.id}, {"crashes", std::to_string(crashes)}});
    }
  };
  log_each(causes, logged_, "prompt_part_banned");
  log_each(logged_, causes, "prompt_part_ban_ended");
  logged_ = causes;
}

} // namespace camphorlug::gateway
