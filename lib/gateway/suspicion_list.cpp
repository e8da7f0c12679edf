#include "camphorlug/gateway/suspicion_list.h"

#include "camphorlug/support/log.h"

#include <algorithm>

namespace camphorlug::gateway {

/// More than two status exchange intervals of a small cluster, so that a suspicion
/// received from a peer outlives a missed exchange but ends shortly after the peer's own.
static constexpr std::chrono::milliseconds peer_suspicion_duration{600};

void suspicion_list::suspect(const std::string& target, const std::string& reason) {
  record& known = records_[target];
  const auto now = time_.now();
  known.failures = 0;
  if (now < known.own_until)
    return;
  const auto span = std::min<std::chrono::nanoseconds>(
      initial_suspension * (1 << std::min(known.suspensions, 4)), max_suspension);
  known.suspensions += 1;
  known.own_until = now + span;
  support::log_event(support::log_level::warning, "target_suspected",
                     {{"target", target},
                      {"reason", reason},
                      {"for_ms", std::to_string(span / std::chrono::milliseconds(1))}});
}

void suspicion_list::count_failure(const std::string& target, const std::string& reason) {
  record& known = records_[target];
  known.failures += 1;
  if (known.failures > tolerated_failures)
    suspect(target, reason);
}

void suspicion_list::end_suspension(const std::string& target) {
  if (const auto found = records_.find(target); found != records_.end())
    found->second.own_until = time_.now();
}

void suspicion_list::count_success(const std::string& target) {
  records_.erase(target);
}

void suspicion_list::add_peer_suspicion(const std::string& target) {
  record& known = records_[target];
  known.peer_until = time_.now() + peer_suspicion_duration;
}

bool suspicion_list::suspected(const std::string& target) const {
  const auto found = records_.find(target);
  return found != records_.end() &&
         time_.now() < std::max(found->second.own_until, found->second.peer_until);
}

std::vector<std::string> suspicion_list::own() const {
  std::vector<std::string> targets;
  for (const auto& [target, known] : records_) {
    if (time_.now() < known.own_until)
      targets.push_back(target);
  }
  return targets;
}

} // namespace camphorlug::gateway
