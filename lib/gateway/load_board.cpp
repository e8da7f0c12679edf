#include "camphorlug/gateway/load_board.h"

namespace camphorlug::gateway {

static std::size_t count_of(const target_loads& loads, const std::string& target) {
  const auto found = loads.find(target);
  return found == loads.end() ? 0 : found->second;
}

void load_board::remove(const std::string& target) {
  const auto found = own_.find(target);
  if (found != own_.end() && --found->second == 0)
    own_.erase(found);
}

void load_board::take(const std::string& peer, target_loads loads) {
  peers_[peer] = {std::move(loads), time_.now()};
}

std::size_t load_board::own(const std::string& target) const {
  return count_of(own_, target);
}

std::size_t load_board::in_flight(const std::string& target) const {
  std::size_t sum = own(target);
  for (const auto& [peer, counts] : peers_) {
    if (time_.now() - counts.taken_at < freshness)
      sum += count_of(counts.loads, target);
  }
  return sum;
}

} // namespace camphorlug::gateway
