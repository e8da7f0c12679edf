#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace camphorlug::gateway {

/// What a node learned of a member of a group whose entry has lapsed: from its answer to a
/// question, or from streams of the group that progress.
struct member_sighting {
  /// Start of the member as in its last entry; see `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;
  /// Epoch of the group as in its last entry.
  std::uint64_t epoch = 0;
  /// Whether that start is still ready in that group and not leaving.
  bool is_member = false;
  /// Time since then.
  std::chrono::milliseconds age{0};

  bool operator==(const member_sighting&) const = default;

  /// Whether this counts in place of `other`. A member that leaves or is lost does not return to
  /// the same epoch, although its group may progress for a while.
  bool replaces(const member_sighting& other, bool is_newer) const {
    const bool same = started_at_ms == other.started_at_ms && epoch == other.epoch;
    return same && is_member != other.is_member ? !is_member : is_newer;
  }
};

/// By target.
using member_sightings = std::map<std::string, member_sighting>;

void to_json(nlohmann::json& value, const member_sighting& sighting);
/// Throws nlohmann::json::exception if `value` is not a valid sighting.
void from_json(const nlohmann::json& value, member_sighting& sighting);

/// Adds `other`, which was received `elapsed` ago, to `held`; the later answer counts.
void keep_newest(member_sightings& held, const member_sightings& other,
                 std::chrono::nanoseconds elapsed);

} // namespace camphorlug::gateway
