#include "camphorlug/gateway/second_try_policy.h"

#include <algorithm>

namespace camphorlug::gateway {

/// Second tries that a node may save up. More would let all nodes send at the same time what was
/// saved up over a long one.
static constexpr double max_saved = 1;
/// Sums of shares of requests are inexact.
static constexpr double rounding_tolerance = 1e-9;

void second_try_policy::count_request(const std::string& service) {
  if (!enabled())
    return;
  double& allowed = allowed_[service];
  allowed = std::min(allowed + limits_.share_of_requests, max_saved);
}

bool second_try_policy::is_due(const second_try_case& request) const {
  if (!enabled() || !request.is_repeatable || request.attempts != 1 || request.is_answered ||
      request.is_suspected)
    return false;
  if (!request.usual_time || request.wait <= *request.usual_time)
    return false;
  const auto allowed = allowed_.find(request.service);
  return allowed != allowed_.end() && allowed->second >= 1 - rounding_tolerance;
}

void second_try_policy::count_second_try(const std::string& service) {
  allowed_[service] -= 1;
}

} // namespace camphorlug::gateway
