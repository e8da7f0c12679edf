#include "camphorlug/gateway/retry_limiter.h"

#include <algorithm>

namespace camphorlug::gateway {

static void drop_before(std::deque<support::clock::time_point>& times,
                        support::clock::time_point oldest) {
  while (!times.empty() && times.front() < oldest)
    times.pop_front();
}

void retry_limiter::prune_history(history& past) const {
  const auto oldest = time_.now() - limits_.window;
  drop_before(past.requests, oldest);
  drop_before(past.retries, oldest);
}

void retry_limiter::count_request(const std::string& service) {
  history& past = services_[service];
  past.requests.push_back(time_.now());
  prune_history(past);
}

double retry_limiter::retry_bound(const history& past) const {
  const auto nodes = static_cast<double>(std::max<std::size_t>(nodes_(), 1));
  const double bound =
      limits_.ratio * static_cast<double>(past.requests.size()) + limits_.slack / nodes;
  return bound * safety_factor;
}

bool retry_limiter::can_retry(const std::string& service) {
  history& past = services_[service];
  prune_history(past);
  return static_cast<double>(past.retries.size()) + 1 <= retry_bound(past);
}

bool retry_limiter::try_acquire(const std::string& service) {
  if (!can_retry(service))
    return false;
  services_[service].retries.push_back(time_.now());
  return true;
}

std::map<std::string, retry_limiter::budget> retry_limiter::budgets() const {
  std::map<std::string, budget> all;
  for (const auto& [service, stored] : services_) {
    history past = stored;
    prune_history(past);
    all[service] = {past.requests.size(), past.retries.size(), retry_bound(past)};
  }
  return all;
}

} // namespace camphorlug::gateway
