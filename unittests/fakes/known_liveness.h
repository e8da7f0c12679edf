#pragma once

#include "camphorlug/gateway/target_liveness.h"

#include <set>
#include <string>

namespace camphorlug::fakes {

/// Says that all targets run but those in `ended`.
class known_liveness final : public gateway::target_liveness {
public:
  support::task<bool> is_running(gateway::target_entry target, std::chrono::nanoseconds) override {
    ++questions;
    co_return !ended.contains(target.id);
  }

  std::set<std::string> ended;
  std::size_t questions = 0;
};

} // namespace camphorlug::fakes
