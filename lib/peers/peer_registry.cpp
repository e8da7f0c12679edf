#include "camphorlug/peers/peer_registry.h"

#include <bit>

namespace camphorlug::peers {

/// Number of peers below which a report reaches all nodes within about one second.
static constexpr std::size_t small_cluster_size = 8;

void peer_registry::update(const node_report& report, support::clock::time_point now) {
  if (report.id.empty() || report.id == self_)
    return;
  const auto [place, is_new] = peers_.try_emplace(report.id);
  known_peer& known = place->second;
  const report_digest ours = digest_of(known.report);
  const report_digest theirs = digest_of(report);
  const bool is_later = is_new || theirs.is_later_than(ours);
  if (is_new || theirs.has_newer_content_than(ours))
    known.report = report;
  known.report.sequence = is_later ? report.sequence : ours.sequence;
  if (is_later)
    known.heard_at = now;
}

void peer_registry::update(const report_digest& digest, support::clock::time_point now) {
  const auto found = peers_.find(digest.id);
  if (found == peers_.end())
    return;
  node_report& known = found->second.report;
  // A heartbeat of a later incarnation counts only once its report has arrived.
  if (digest.incarnation != known.incarnation || digest.sequence <= known.sequence)
    return;
  known.sequence = digest.sequence;
  found->second.heard_at = now;
}

std::chrono::seconds peer_registry::propagation_delay() const {
  return std::chrono::seconds(std::bit_width(peers_.size() / small_cluster_size));
}

void peer_registry::remove_silent_peers(support::clock::time_point now) {
  std::erase_if(peers_,
                [now](const auto& each) { return now - each.second.heard_at > removal_timeout; });
}

} // namespace camphorlug::peers
