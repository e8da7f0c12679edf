#include "camphorlug/gateway/member_sighting.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

using std::chrono::milliseconds;

// An array in place of an object, because summaries cross data centres several times a second.
void to_json(nlohmann::json& value, const member_sighting& sighting) {
  value = {sighting.started_at_ms, sighting.epoch, sighting.is_member ? 1 : 0,
           sighting.age.count()};
}

void from_json(const nlohmann::json& value, member_sighting& sighting) {
  value.at(0).get_to(sighting.started_at_ms);
  value.at(1).get_to(sighting.epoch);
  sighting.is_member = value.at(2).get<int>() == 1;
  // An answer of the future would count for too long.
  sighting.age = std::max(milliseconds(value.at(3).get<std::int64_t>()), milliseconds(0));
}

void keep_newest(member_sightings& held, const member_sightings& other,
                 std::chrono::nanoseconds elapsed) {
  for (const auto& [target, received] : other) {
    member_sighting sighting = received;
    sighting.age += std::chrono::duration_cast<milliseconds>(elapsed);
    const auto [known, is_new] = held.try_emplace(target, sighting);
    if (!is_new && sighting.replaces(known->second, sighting.age < known->second.age))
      known->second = sighting;
  }
}

} // namespace camphorlug::gateway
