#pragma once

#include "camphorlug/gateway/target_entry.h"
#include "camphorlug/support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// An entry with what this process thinks of it.
struct registered_target {
  target_entry entry;
  /// Commit number of the row that the entry was read from.
  std::uint64_t version = 0;
  support::clock::time_point read_at;
  /// When its row was first seen to be missing after the store had been away.
  std::optional<support::clock::time_point> missing_since;
  /// The model that it held last in this life: it stays in its memory after it
  /// left its group, while its entry names none.
  std::string resident_model;
};

/// All targets that the registry names. Rows only go forward.
class target_registry {
public:
  /// Entries that lapsed during an outage of the store are back within this
  /// time after its return if their targets live.
  static constexpr std::chrono::milliseconds outage_grace_period{1800};

  explicit target_registry(support::clock& time) : time_(time) {}

  /// Takes a row that was read or changed; nothing when it does not name a usable target.
  void update(const std::string& id, std::uint64_t version, std::optional<target_entry> entry);

  /// Takes a row's deletion.
  void remove(const std::string& id, std::uint64_t version);

  /// Takes a complete reading of the registry: targets outside `present` have no row.
  void retain(const std::set<std::string>& present, std::uint64_t version);

  /// The store answers again after an outage.
  void mark_store_recovered() { store_recovered_at_ = time_.now(); }

  /// Drops entries that stayed missing. Call it a few times a second.
  void expire();

  const std::map<std::string, registered_target>& all() const { return targets_; }
  /// The entry of `id`, or null.
  const target_entry* find(const std::string& id) const;

  /// Grows with each change of what any entry says.
  std::uint64_t revision() const { return revision_; }
  /// The newest commit number of any row that was read.
  std::uint64_t newest_version() const { return newest_version_; }
  /// False until the registry was read once.
  bool was_read() const { return was_read_; }

  void add_listener(std::function<void()> on_change) { listeners_.push_back(std::move(on_change)); }

private:
  bool in_grace_period() const;
  void confirm_unchanged(registered_target& target, std::uint64_t version);
  void erase(const std::string& id);
  void notify_listeners();

  support::clock& time_;
  std::map<std::string, registered_target> targets_;
  /// Versions of deletions, so that a late older reading brings nothing back.
  std::map<std::string, std::uint64_t> removed_;
  std::optional<support::clock::time_point> store_recovered_at_;
  std::uint64_t revision_ = 0;
  std::uint64_t newest_version_ = 0;
  bool was_read_ = false;
  std::vector<std::function<void()>> listeners_;
};

} // namespace camphorlug::gateway
