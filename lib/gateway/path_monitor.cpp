#include "camphorlug/gateway/path_monitor.h"

#include "camphorlug/support/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorlug::gateway {

path_monitor::wait::wait(path_monitor& monitor, std::string service, std::string target,
                         std::function<void()> abandon)
    : monitor_(monitor), number_(++monitor.last_wait_), service_(std::move(service)),
      target_(std::move(target)), abandon_(std::move(abandon)), last_answer_(monitor.time_.now()) {
  monitor_.waits_.emplace(number_, this);
}

void path_monitor::wait::record_answer() {
  last_answer_ = monitor_.time_.now();
  monitor_.record_answer(service_);
}

void path_monitor::record_answer(const std::string& service) {
  last_answer_ = time_.now();
  answers_[service] = last_answer_;
  // While only new connections are refused, answers on old ones say nothing about these.
  if (!losses_.contains(service))
    failures_.erase(service);
}

std::optional<support::clock::time_point>
path_monitor::last_answer(const std::string& service) const {
  const auto found = answers_.find(service);
  return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

void path_monitor::record_failure(const std::string& service, const std::string& target) {
  if (losses_.contains(service))
    return;
  auto& failed = failures_[service];
  const auto now = time_.now();
  failed[target] = now;
  std::erase_if(failed, [&](const auto& each) { return now - each.second > failure_memory; });
  // Targets of a domain may fail in the same moment.
  const auto answered_at = last_answer(service);
  if (failed.size() >= failed_targets_that_prove_loss &&
      (!answered_at || now - *answered_at >= doubt_after))
    begin_loss(service);
}

void path_monitor::begin_loss(const std::string& service) {
  support::log_event(support::log_level::warning, "targets_unreachable",
                     {{"service", service},
                      {"failed", std::to_string(failures_[service].size())},
                      {"waiting", std::to_string(waits_.size())}});
  losses_[service] = {time_.now()};
  failures_.erase(service);
  abandon_silent_waits();
}

void path_monitor::abandon_silent_waits() {
  // The callbacks may end other waits.
  std::vector<std::function<void()>> abandoned;
  for (const auto& [number, each] : waits_) {
    const auto lost = losses_.find(each->service_);
    if (lost == losses_.end() || time_.now() - each->last_answer_ < doubt_after)
      continue;
    const auto answered_at = last_answer(each->service_);
    const bool others_are_answered = answered_at && *answered_at > lost->second.since;
    if (!others_are_answered)
      abandoned.push_back(each->abandon_);
  }
  for (const auto& abandon : abandoned)
    abandon();
}

void path_monitor::record_probe(const std::string& service, bool answered) {
  const auto found = losses_.find(service);
  if (found == losses_.end())
    return;
  found->second.answered_probes = answered ? found->second.answered_probes + 1 : 0;
  if (found->second.answered_probes < probes_that_end_loss)
    return;
  const auto span = time_.now() - found->second.since;
  support::log_event(
      support::log_level::info, "targets_reachable",
      {{"service", service}, {"after_ms", std::to_string(span / std::chrono::milliseconds(1))}});
  losses_.erase(found);
  last_answer_ = time_.now();
  answers_[service] = last_answer_;
}

void path_monitor::check() {
  abandon_silent_waits();
}

bool path_monitor::is_silent(const std::string& service) const {
  const auto now = time_.now();
  const auto answered_at = last_answer(service);
  if (answered_at && now - *answered_at < silence_limit)
    return false;
  std::set<std::string> targets;
  for (const auto& [number, each] : waits_) {
    if (each->service_ == service && now - each->last_answer_ >= silence_limit)
      targets.insert(each->target_);
  }
  return targets.size() >= failed_targets_that_prove_loss;
}

std::vector<std::string> path_monitor::take_silent_services() {
  std::set<std::string> services;
  for (const auto& [number, each] : waits_)
    services.insert(each->service_);
  std::vector<std::string> silent;
  for (const std::string& service : services) {
    const auto [taken_at, is_new] = silence_taken_.try_emplace(service, time_.now());
    const bool is_due = is_new || time_.now() - taken_at->second >= silence_limit;
    if (!is_due || losses_.contains(service) || !is_silent(service)) {
      if (is_new)
        silence_taken_.erase(taken_at);
      continue;
    }
    taken_at->second = time_.now();
    silent.push_back(service);
  }
  return silent;
}

void path_monitor::record_silence(const std::string& service) {
  if (!losses_.contains(service) && is_silent(service))
    begin_loss(service);
}

bool path_monitor::has_lost(const std::string& service) const {
  if (losses_.contains(service))
    return true;
  const auto answered_at = last_answer(service);
  return std::any_of(losses_.begin(), losses_.end(), [&](const auto& each) {
    return !answered_at || *answered_at < each.second.since - silence_limit;
  });
}

std::vector<std::string> path_monitor::lost_services() const {
  std::vector<std::string> services;
  for (const auto& [service, lost] : losses_)
    services.push_back(service);
  return services;
}

bool path_monitor::has_lost_all() const {
  return !losses_.empty() && std::all_of(answers_.begin(), answers_.end(),
                                         [&](const auto& each) { return has_lost(each.first); });
}

bool path_monitor::is_in_doubt() const {
  return !losses_.empty() || time_.now() - last_answer_ >= doubt_after;
}

} // namespace camphorlug::gateway
