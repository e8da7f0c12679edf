#include "camphorlug/routing/random_picker.h"

namespace camphorlug::routing {

std::size_t random_picker::pick(std::uint64_t, const std::vector<candidate>& candidates,
                                support::random_source& random) const {
  return random.below(candidates.size());
}

} // namespace camphorlug::routing
