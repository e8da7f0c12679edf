#include "camphorlug/node/entry_points.h"

#include "camphorlug/support/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::node {

std::vector<entry_point> list_entry_points(const peers::node_report& self, bool self_serves,
                                           const peers::peer_registry& registry,
                                           const std::string& data_centre,
                                           support::clock::time_point now,
                                           support::random_source& random) {
  std::vector<entry_point> entries;
  if (self_serves)
    entries.push_back({self.address, self.data_centre});
  for (const auto& [id, peer] : registry.peers()) {
    if (!peer.report.leaving && !peer.report.isolated && !registry.is_suspected(peer, now))
      entries.push_back({peer.report.address, peer.report.data_centre});
  }
  std::shuffle(entries.begin(), entries.end(), random.engine());
  std::stable_partition(entries.begin(), entries.end(), [&data_centre](const entry_point& each) {
    return each.data_centre == data_centre;
  });
  return entries;
}

std::string to_json(const std::vector<entry_point>& entries, std::chrono::milliseconds valid_for) {
  nlohmann::ordered_json body;
  body["entries"] = nlohmann::json::array();
  for (const entry_point& each : entries)
    body["entries"].push_back({{"address", each.address}, {"data_centre", each.data_centre}});
  body["valid_for_ms"] = valid_for.count();
  return support::to_json_text(body) + "\n";
}

} // namespace camphorlug::node
