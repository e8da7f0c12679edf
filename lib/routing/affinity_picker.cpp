#include "camphorlug/routing/affinity_picker.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>
#include <array>

namespace camphorlug::routing {

/// Load over the mean that a home target may have.
static constexpr double bound_factor = 1.25;
/// Targets in rendezvous order that are tried before a random choice.
static constexpr std::size_t homes = 2;

static double load_bound(const std::vector<candidate>& candidates) {
  double sum = 1;
  for (const candidate& each : candidates)
    sum += each.load;
  return std::max(1.0, bound_factor * sum / static_cast<double>(candidates.size()));
}

static std::array<std::size_t, homes> find_homes(std::uint64_t affinity,
                                                 const std::vector<candidate>& candidates) {
  std::array<std::size_t, homes> best{0, 0};
  std::array<std::uint64_t, homes> weights{0, 0};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t weight = rendezvous_weight(affinity, candidates[i].hash);
    if (weight >= weights[0]) {
      weights = {weight, weights[0]};
      best = {i, best[0]};
    } else if (weight >= weights[1]) {
      weights[1] = weight;
      best[1] = i;
    }
  }
  return best;
}

std::size_t affinity_picker::pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                                  support::random_source& random) const {
  const double bound = load_bound(candidates);
  for (const std::size_t home : find_homes(affinity, candidates)) {
    if (candidates[home].load < bound)
      return home;
  }
  const std::size_t first = random.below(candidates.size());
  const std::size_t second = random.below(candidates.size());
  return candidates[first].load <= candidates[second].load ? first : second;
}

} // namespace camphorlug::routing
