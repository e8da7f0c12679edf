#include "camphorlug/requests/retry_budget.h"

#include <algorithm>

namespace camphorlug::requests {

static constexpr double retries_per_request = 0.1;
static constexpr double max_saved_retries = 10;

void retry_budget::on_request() {
  available_ = std::min(max_saved_retries, available_ + retries_per_request);
}

bool retry_budget::try_consume() {
  if (available_ < 1)
    return false;
  available_ -= 1;
  return true;
}

} // namespace camphorlug::requests
