#include "camphorlug/edge/direct_read_policy.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>

namespace camphorlug::edge {

/// Parts of the time limit between which the hubs read. The first exceeds the poll and the two
/// exchanges by which a reader's answer reaches the last hub.
static constexpr double first_hub_fraction = 0.55;
static constexpr double last_hub_fraction = 0.65;
/// The same for attached nodes, whose copies are staler by one exchange with their hub. The rest of
/// the time limit is for the read.
static constexpr double first_attached_fraction = 0.72;
static constexpr double last_attached_fraction = 0.82;
/// Parts of the time limit between a failure and the next attempt. A node that reaches the store
/// again must know it before it counts as in touch, which takes longer than the time limit.
static constexpr double first_retry_fraction = 0.25;
static constexpr double max_retry_fraction = 0.8;

/// Spreads the nodes evenly from 0 to 1.
static double turn_of(std::string_view node) {
  constexpr std::uint64_t turns = 1000;
  return static_cast<double>(routing::rendezvous_hash(node) % turns) / turns;
}

direct_read_policy::direct_read_policy(support::clock& time, support::random_source& random,
                                       std::string_view node)
    : time_(time), random_(random), turn_(turn_of(node)) {}

bool direct_read_policy::should_read(std::chrono::nanoseconds staleness,
                                     std::chrono::milliseconds time_limit,
                                     std::optional<std::size_t> place, std::size_t hubs) {
  if (is_reading_ || time_.now() < retry_at_)
    return false;
  const double turn = place ? static_cast<double>(*place) / static_cast<double>(hubs) : turn_;
  const double first = place ? first_hub_fraction : first_attached_fraction;
  const double last = place ? last_hub_fraction : last_attached_fraction;
  return staleness >= time_limit * (first + (last - first) * turn);
}

void direct_read_policy::end_read(bool answered, std::chrono::milliseconds time_limit) {
  is_reading_ = false;
  failures_ = answered ? 0 : failures_ + 1;
  if (answered)
    return;
  const double fraction =
      std::min(first_retry_fraction * static_cast<double>(failures_ * failures_),
               max_retry_fraction) *
      (0.75 + 0.5 * random_.uniform_real());
  retry_at_ =
      time_.now() + std::chrono::duration_cast<std::chrono::nanoseconds>(time_limit * fraction);
}

} // namespace camphorlug::edge
