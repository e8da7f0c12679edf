#include "camphorlug/routing/least_loaded_picker.h"

#include <algorithm>

namespace camphorlug::routing {

std::size_t least_loaded_picker::pick(std::uint64_t, const std::vector<candidate>& candidates,
                                      support::random_source&) const {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const candidate& left, const candidate& right) { return left.load < right.load; });
  return least - candidates.begin();
}

} // namespace camphorlug::routing
