#include "camphorlug/gateway/retry_allowance.h"

#include <algorithm>

namespace camphorlug::gateway {

static void drop_before(std::deque<support::clock::time_point>& times,
                        support::clock::time_point oldest) {
  while (!times.empty() && times.front() < oldest)
    times.pop_front();
}

void retry_allowance::forget_old(history& past) const {
  const auto oldest = time_.now() - limits_.window;
  drop_before(past.requests, oldest);
  drop_before(past.retries, oldest);
}

void retry_allowance::count_request(const std::string& service) {
  history& past = services_[service];
  past.requests.push_back(time_.now());
  forget_old(past);
}

double retry_allowance::bound_of(const history& past) const {
  const auto nodes = static_cast<double>(std::max<std::size_t>(nodes_(), 1));
  const double bound =
      limits_.ratio * static_cast<double>(past.requests.size()) + limits_.slack / nodes;
  return bound * used_part;
}

bool retry_allowance::has(const std::string& service) {
  history& past = services_[service];
  forget_old(past);
  return static_cast<double>(past.retries.size()) + 1 <= bound_of(past);
}

bool retry_allowance::take(const std::string& service) {
  if (!has(service))
    return false;
  services_[service].retries.push_back(time_.now());
  return true;
}

std::map<std::string, retry_allowance::budget> retry_allowance::budgets() const {
  std::map<std::string, budget> all;
  for (const auto& [service, kept] : services_) {
    history past = kept;
    forget_old(past);
    all[service] = {past.requests.size(), past.retries.size(), bound_of(past)};
  }
  return all;
}

} // namespace camphorlug::gateway
