#include "camphorlug/peers/peer_board.h"

namespace camphorlug::peers {

void peer_board::take(const node_report& report, support::clock::time_point now) {
  if (report.id.empty() || report.id == self_)
    return;
  const auto [place, is_new] = peers_.try_emplace(report.id);
  known_peer& known = place->second;
  if (!is_new && !report.is_newer_than(known.report))
    return;
  known.report = report;
  known.heard_at = now;
}

void peer_board::reached(const std::string& id, support::clock::time_point now) {
  const auto found = peers_.find(id);
  if (found == peers_.end())
    return;
  found->second.heard_at = now;
  found->second.reached_at = now;
  found->second.was_reached = true;
}

void peer_board::forget_silent(support::clock::time_point now) {
  std::erase_if(peers_, [now](const auto& each) { return now - each.second.heard_at > oblivion; });
}

} // namespace camphorlug::peers
