#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace camphorlug::gateway {

/// What a node knows of the evacuation of one data centre, as sent to peers.
struct reported_evacuation {
  /// Version of the row, of its deletion or of the read that found it missing, with the era.
  std::uint64_t version = 0;
  bool is_evacuated = false;
  /// Time since the operator asked for it, at least as far as any node knows.
  std::chrono::milliseconds age{0};

  bool operator==(const reported_evacuation&) const = default;
};

void to_json(nlohmann::json& value, const reported_evacuation& report);
/// Throws nlohmann::json::exception if `value` is not a valid report.
void from_json(const nlohmann::json& value, reported_evacuation& report);

/// By data centre.
using reported_evacuations = std::map<std::string, reported_evacuation>;

/// The data centres whose targets must get no new request.
///
/// Answers the loss of a data centre that the operator announces beforehand: capacity is moved
/// first, so a data centre is closed only `closing_delay` after its evacuation was announced, on
/// all nodes at about the same time. It is closed at once if the time of the announcement is not
/// known. What is newer is told by the version alone, so neither a late message of a peer nor an
/// older read of the store changes anything. Performs no I/O.
class evacuation_list {
public:
  /// Part of the operator's time limit that is left for nodes that learn of it late.
  static constexpr std::chrono::milliseconds closing_margin{2000};
  /// How long an evacuation holds whose row is missing in a later era of the store: the copy from
  /// which the store was restored may be older than the row, which is then written again.
  static constexpr std::chrono::seconds restored_store_grace{10};
  /// Age of an announcement of which only the version is known.
  static constexpr std::chrono::milliseconds unknown_age = std::chrono::hours(1);

  /// `time_limit` is the time from the announcement to the last request at the latest.
  evacuation_list(support::clock& time, std::chrono::milliseconds time_limit) : time_(time) {
    change_time_limit(time_limit);
  }

  void change_time_limit(std::chrono::milliseconds time_limit);

  /// Applies a row or its deletion, announced `age` ago.
  void update(const std::string& data_centre, std::uint64_t version, bool is_evacuated,
              std::chrono::milliseconds age);
  /// Applies a read of all rows that is complete up to `version`: what is not in `present` is
  /// evacuated no longer.
  void retain(const std::set<std::string>& present, std::uint64_t version);
  /// Applies what a peer knows that has read the rows itself or heard of them from one that has.
  void merge(const reported_evacuations& others);
  /// What this node knows, to be sent to peers; also what has ended.
  reported_evacuations known() const;

  /// Whether the rows were read once, by this node or a peer.
  bool was_read() const { return was_read_; }

  /// Whether the operator has asked for the evacuation.
  bool is_evacuated(const std::string& data_centre) const;
  /// Whether nothing may be sent to the targets of the data centre now.
  bool is_closed(const std::string& data_centre) const;
  std::set<std::string> evacuated() const;
  /// Increases when `is_closed` changes for any data centre.
  std::uint64_t revision();

private:
  struct record {
    std::uint64_t version = 0;
    bool is_evacuated = false;
    support::clock::time_point announced_at;
    /// Since when the row is missing in a later era of the store.
    std::optional<support::clock::time_point> missing_since;
  };

  bool is_closed(const record& each) const {
    return each.is_evacuated && time_.now() - each.announced_at >= closing_delay_;
  }
  void end(const std::string& data_centre, record& ended, std::uint64_t version);

  support::clock& time_;
  std::chrono::milliseconds closing_delay_{0};
  bool was_read_ = false;
  std::map<std::string, record> records_;
  std::uint64_t revision_ = 1;
  std::set<std::string> closed_at_revision_;
};

} // namespace camphorlug::gateway
