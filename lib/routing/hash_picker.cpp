#include "camphorlug/routing/hash_picker.h"

#include "camphorlug/routing/rendezvous.h"

#include <algorithm>

namespace camphorlug::routing {

std::size_t hash_picker::pick(std::uint64_t affinity, const std::vector<candidate>& candidates,
                              support::random_source&) const {
  const auto home = std::max_element(candidates.begin(), candidates.end(),
                                     [affinity](const candidate& left, const candidate& right) {
                                       return rendezvous_weight(affinity, left.hash) <
                                              rendezvous_weight(affinity, right.hash);
                                     });
  return home - candidates.begin();
}

} // namespace camphorlug::routing
