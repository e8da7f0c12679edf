#include "camphorlug/gateway/active_config.h"

#include "camphorlug/support/log.h"

namespace camphorlug::gateway {

bool active_config::update_if_newer(std::shared_ptr<const routing_config> candidate) {
  if (current_ && candidate->version <= current_->version)
    return false;
  support::log_event(support::log_level::info, "config_in_force",
                     {{"version", std::to_string(candidate->version)},
                      {"before", std::to_string(current_ ? current_->version : 0)},
                      {"routes", std::to_string(candidate->routes().size())}});
  current_ = std::move(candidate);
  taken_at_ = time_.now();
  return true;
}

} // namespace camphorlug::gateway
