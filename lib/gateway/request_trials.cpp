#include "camphorlug/gateway/request_trials.h"

#include <algorithm>

namespace camphorlug::gateway {

trial_answer request_trials::ask(const std::string& request, const std::string& node,
                                 std::size_t crashes) {
  const auto now = time_.now();
  std::erase_if(trials_, [&](const auto& each) {
    const trial& known = each.second;
    return std::max({known.ends_at, known.open_until, known.asked_at + memory_time}) <= now;
  });
  // The node that asks does not know of the ban yet.
  if (causes_.find_banned("", {request}))
    return trial_answer::busy;
  const std::size_t known = std::max(crashes, causes_.crashes_under(request));
  if (known == 0)
    return trial_answer::open;
  trial& current = trials_[request];
  // A further crash is the outcome of the trial, and ends the time in which requests are sent
  // freely.
  if (known > current.crashes)
    current = {known, {}, now};
  current.asked_at = now;
  if (now < current.open_until)
    return trial_answer::open;
  if (now < current.ends_at)
    return trial_answer::busy;
  current.node = node;
  current.ends_at = now + trial_time;
  return trial_answer::granted;
}

void request_trials::record(const std::string& request, const std::string& node, trial_step step) {
  const auto found = trials_.find(request);
  if (found == trials_.end() || found->second.node != node)
    return;
  found->second.ends_at = support::clock::time_point::min();
  if (step == trial_step::survived)
    found->second.open_until = time_.now() + open_time;
}

} // namespace camphorlug::gateway
