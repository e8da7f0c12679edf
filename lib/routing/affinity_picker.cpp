#include "camphorlug/routing/affinity_picker.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>

namespace camphorlug::routing {

/// A home target is overloaded if its load is at least this multiple of the mean.
static constexpr double load_factor = 2.0;
/// It is also overloaded if its recent requests are at least `recent_allowance`
/// plus `recent_factor` times the mean.
static constexpr double recent_factor = 2.0;
static constexpr double recent_allowance = 1.0;

static std::size_t find_home(std::uint64_t affinity, const std::vector<candidate>& candidates) {
  std::size_t home = 0;
  std::uint64_t largest = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t weight = rendezvous_weight(affinity, candidates[i].hash);
    if (weight < largest)
      continue;
    largest = weight;
    home = i;
  }
  return home;
}

static bool is_overloaded(const candidate& home, const std::vector<candidate>& candidates) {
  double load = 1;
  double recent = 0;
  for (const candidate& each : candidates) {
    load += each.load;
    recent += each.recent;
  }
  const auto count = static_cast<double>(candidates.size());
  return home.load >= std::max(1.0, load_factor * load / count) ||
         home.recent >= recent_allowance + recent_factor * recent / count;
}

std::size_t affinity_picker::pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                                  support::random_source& random) const {
  const std::size_t home = find_home(affinity, candidates);
  if (!is_overloaded(candidates[home], candidates))
    return home;
  const std::size_t first = random.below(candidates.size());
  const std::size_t second = random.below(candidates.size());
  return candidates[first].load <= candidates[second].load ? first : second;
}

} // namespace camphorlug::routing
