#pragma once

#include "camphorlug/gateway/trial_permits.h"

#include <string>

namespace camphorlug::fakes {

/// Lets each request be sent.
class open_trial_permits final : public gateway::trial_permits {
public:
  support::task<gateway::trial_answer> ask(std::string) override {
    co_return gateway::trial_answer::open;
  }
  void report(const std::string&, gateway::trial_step) override {}
};

} // namespace camphorlug::fakes
