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

bool retry_allowance::take(const std::string& service) {
  history& past = services_[service];
  forget_old(past);
  const auto nodes = static_cast<double>(std::max<std::size_t>(nodes_(), 1));
  const double bound =
      limits_.ratio * static_cast<double>(past.requests.size()) + limits_.slack / nodes;
  if (static_cast<double>(past.retries.size()) + 1 > bound * used_part)
    return false;
  past.retries.push_back(time_.now());
  return true;
}

} // namespace camphorlug::gateway
