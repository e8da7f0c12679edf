#include "camphorlug/gateway/load_tracker.h"

namespace camphorlug::gateway {

void load_tracker::add(const std::string& target) {
  ++own_[target];
  ++sums_[target];
}

void load_tracker::subtract(const std::string& target, std::size_t count) {
  const auto found = sums_.find(target);
  if (found != sums_.end() && (found->second -= count) == 0)
    sums_.erase(found);
}

void load_tracker::remove(const std::string& target) {
  const auto found = own_.find(target);
  if (found == own_.end())
    return;
  if (--found->second == 0)
    own_.erase(found);
  subtract(target, 1);
}

void load_tracker::remove_peer(peer_iterator entry) {
  for (const auto& [target, count] : entry->loads)
    subtract(target, count);
  peers_.erase(entry->peer);
  by_age_.erase(entry);
}

void load_tracker::expire_peer_loads() {
  while (!by_age_.empty() && time_.now() - by_age_.front().updated_at >= peer_load_expiry_)
    remove_peer(by_age_.begin());
}

void load_tracker::update_peer(const std::string& peer, target_loads loads) {
  if (const auto known = peers_.find(peer); known != peers_.end())
    remove_peer(known->second);
  // Zero counts are dropped, so that the sums hold no entries for idle targets.
  std::erase_if(loads, [](const auto& each) { return each.second == 0; });
  for (const auto& [target, count] : loads)
    sums_[target] += count;
  by_age_.push_back({peer, std::move(loads), time_.now()});
  peers_[peer] = std::prev(by_age_.end());
}

void load_tracker::clear_peers() {
  while (!by_age_.empty())
    remove_peer(by_age_.begin());
}

target_loads load_tracker::sums_without(const std::string& peer) const {
  target_loads loads(sums_.begin(), sums_.end());
  const auto left_out = peers_.find(peer);
  if (left_out == peers_.end())
    return loads;
  for (const auto& [target, count] : left_out->second->loads) {
    const auto sum = loads.find(target);
    if ((sum->second -= count) == 0)
      loads.erase(sum);
  }
  return loads;
}

std::size_t load_tracker::in_flight(const std::string& target) {
  expire_peer_loads();
  const auto found = sums_.find(target);
  return found == sums_.end() ? 0 : found->second;
}

std::size_t load_tracker::own(const std::string& target) const {
  const auto found = own_.find(target);
  return found == own_.end() ? 0 : found->second;
}

} // namespace camphorlug::gateway
