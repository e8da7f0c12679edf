#pragma once

#include "camphorlug/gateway/cold_notice.h"
#include "camphorlug/gateway/member_sighting.h"
#include "camphorlug/gateway/target_departure.h"
#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// A target's entry together with the state that this process keeps for it.
struct registered_target {
  target_entry entry;
  /// Commit number of the row that the entry was read from.
  std::uint64_t version = 0;
  support::clock::time_point read_at;
  /// When the row was found missing, if the entry is kept for a while nevertheless.
  std::optional<support::clock::time_point> missing_since;
  /// The last model loaded since the target started. The weights stay in memory
  /// after the target leaves its group, although its entry then names no model.
  std::string resident_model;
  /// When its remaining warm-up time is over. Counted from the time at which the row was read,
  /// which is later than it was written, or said by the target in a response.
  support::clock::time_point cold_until{};
  /// Whether a row or a response since its start has named a remaining warm-up time.
  bool was_cold = false;
  /// The same time as its rows alone tell it.
  support::clock::time_point row_cold_until{};
  /// Set while the row of a group's member is missing but the member may still run: until when the
  /// entry is kept.
  std::optional<support::clock::time_point> held_until{};
  /// Whether the member is known to run since its row is missing.
  bool is_seen = false;

  /// Whether the target counts as a member of its group.
  bool is_present() const { return !missing_since || (held_until && is_seen); }
};

/// A member of a group whose row has lapsed and which may still run.
struct held_member {
  target_entry entry;
  /// When it was last seen, or else when its row was found missing.
  support::clock::time_point seen_at;
  bool was_seen = false;
};

/// In-memory copy of the target registry. Updates and deletions with an older
/// version than the one held are ignored. After the store was restored from an older copy, rows
/// that are older than what this process has seen change nothing but the version.
class target_registry {
public:
  /// Entries can expire in the store during an outage. Live targets register
  /// again within this time after the store recovers.
  static constexpr std::chrono::milliseconds outage_grace_period{1800};
  /// No target counts as cold for longer than this from a row or a response on.
  static constexpr std::chrono::hours max_cold_time{1};
  /// News that a target is cold for this much longer than known is the same that was known, later
  /// by the time on the way. Without it the end would move on with each exchange.
  static constexpr std::chrono::milliseconds cold_tolerance{500};
  /// How long the entry of a member is kept after its row has lapsed until the member is seen: the
  /// answer of the member and the way of the news through hubs.
  static constexpr std::chrono::milliseconds first_sighting_time{1200};
  /// How long a group serves after its member was seen.
  static constexpr std::chrono::milliseconds sighting_lifetime{3000};
  /// How long it is known that a process has shut down; its last responses end within that time.
  static constexpr std::chrono::minutes departure_memory{10};

  explicit target_registry(support::clock& time) : time_(time) {}

  /// Applies a row that was read or changed. `entry` is empty when the row does
  /// not describe a usable target; the target is then dropped.
  void update(const std::string& id, std::uint64_t version, std::optional<target_entry> entry);

  /// Applies the deletion of a row. During the grace period after a store outage
  /// the target is only marked as missing, unless it is draining. The entry of a member that does
  /// not get requests itself is held for a moment, since it may be cut off from the store alone.
  void remove(const std::string& id, std::uint64_t version);

  /// Applies a full read of the registry as of `version`: applies `remove` to
  /// each target that is not in `present`, unless its row is newer than
  /// `version` or it is already marked as missing.
  void retain(const std::set<std::string>& present, std::uint64_t version);

  /// Records that the target said in a response, since its start `started_at_ms`, that it is
  /// shutting down. It counts as draining from then on, also when its row is removed and
  /// written again, until a row with a later start arrives. Returns whether this is new.
  bool mark_leaving(const std::string& id, std::int64_t started_at_ms);
  /// Whether the target said so since that start or a later one.
  bool is_leaving(const std::string& id, std::int64_t started_at_ms) const;
  /// The registered targets that said so, with the start of each, to be sent to peers.
  std::map<std::string, std::int64_t> leaving() const;

  /// What is known of the shutdown of the process with that start; nothing if it is not known to
  /// shut down.
  std::optional<target_departure> find_departure(const std::string& id,
                                                 std::int64_t started_at_ms) const;

  /// Records that the target said in a response that it is cold. Its row, which may have been
  /// written before, does not end that. Returns whether this is news.
  bool mark_cold(const std::string& id, const cold_notice& notice);
  /// What targets said in responses, to be sent to peers, as far as their rows do not say so.
  cold_notices cold_notices_to_report() const;

  /// Number of targets that are cold.
  std::size_t cold_count() const;
  /// Applies the answer of a member whose row has lapsed: its group serves on, or stops at once.
  void apply_sighting(const std::string& id, const member_sighting& sighting);
  /// Applies what other nodes have seen.
  void merge_sightings(const member_sightings& sightings);
  /// The members whose rows are missing and which may still run.
  std::vector<held_member> held_members() const;

  /// Starts the grace period: the store answers again after an outage, since `age`.
  void mark_store_recovered(std::chrono::nanoseconds age = std::chrono::nanoseconds(0)) {
    store_recovered_at_ =
        std::max(store_recovered_at_.value_or(time_.now() - age), time_.now() - age);
  }
  /// Time since the store last answered again after an outage; nullopt if it had none.
  std::optional<std::chrono::nanoseconds> store_recovery_age() const;

  /// Drops entries that are still missing after the grace period and those of members that were
  /// not seen for too long. Call it a few times a second.
  void expire();

  const std::map<std::string, registered_target>& all() const { return targets_; }
  /// Returns the entry of `id`, or null.
  const target_entry* find(const std::string& id) const;

  /// Increases with each change of the targets, but not with a rewrite of the same
  /// content.
  std::uint64_t revision() const { return revision_; }
  /// Highest commit number of all rows and deletions seen.
  std::uint64_t newest_version() const { return newest_version_; }
  /// Whether a full read of the registry has completed.
  bool was_read() const { return was_read_; }

  /// Sets the function that tells whether the group of a member still answers, so that it serves on
  /// until the member is seen.
  void set_group_progress(std::function<bool(const target_entry& member)> progresses) {
    group_progresses_ = std::move(progresses);
  }
  void add_listener(std::function<void()> on_change) { listeners_.push_back(std::move(on_change)); }

private:
  bool in_grace_period() const;
  /// Holds a member, or ends that, as its latest sighting tells.
  void follow_sighting(const std::string& id);
  void end_hold(const std::string& id, const char* reason);
  void follow_warm_up(registered_target& target);
  /// Applies what the target said in responses since its start.
  void apply_cold_notice(registered_target& target);
  void confirm_unchanged(registered_target& target, std::uint64_t version);
  /// Returns whether a row of a later era was written before the last deletion of its target.
  bool is_restored_after_removal(const std::string& id, std::uint64_t version,
                                 const std::optional<target_entry>& entry) const;
  /// Follows the row of a target that may shut down. `is_new_report`: the process has written it
  /// since it was last read.
  void follow_departure(const std::string& id, const target_entry& entry, bool is_new_report);
  /// Records that the process with that start shuts down, unless this is known.
  target_departure& record_departure(const std::string& id, std::int64_t started_at_ms);
  void erase(const std::string& id);
  void mark_changed();

  support::clock& time_;
  std::map<std::string, registered_target> targets_;
  struct removal {
    std::uint64_t version = 0;
    /// The last entry's sequence.
    std::uint64_t sequence = 0;
    std::int64_t started_at_ms = 0;
  };
  /// Deletions, so that neither a delayed older read nor an older copy of the store restores a
  /// deleted target.
  std::map<std::string, removal> removed_;
  /// Targets whose entries have named their start. An entry of such a target without a start is not
  /// the target's own.
  std::set<std::string> named_starts_;
  /// Start of each target that said in a response that it is shutting down.
  std::map<std::string, std::int64_t> leaving_;
  /// The latest shutdown of each target.
  std::map<std::string, target_departure> departures_;
  struct noticed_cold {
    std::int64_t started_at_ms = 0;
    support::clock::time_point until;
  };
  /// What targets said in responses, kept as long as it concerns what they get.
  std::map<std::string, noticed_cold> noticed_cold_;
  struct seen_member {
    member_sighting sighting;
    support::clock::time_point seen_at;
  };
  /// The latest sightings, also of members whose rows this node still holds: the news of a
  /// deletion may arrive later than those of a sighting.
  std::map<std::string, seen_member> sightings_;
  std::function<bool(const target_entry& member)> group_progresses_;
  std::optional<support::clock::time_point> store_recovered_at_;
  std::uint64_t revision_ = 0;
  std::uint64_t newest_version_ = 0;
  bool was_read_ = false;
  std::vector<std::function<void()>> listeners_;
};

} // namespace camphorlug::gateway
