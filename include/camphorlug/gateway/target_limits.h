#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// What a target last said about the rate of requests that it takes from all nodes together.
struct reported_limit {
  /// See `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;
  /// Requests a second; nothing if it names no limit any more.
  std::optional<double> requests_per_second;
  /// Time since it said so.
  std::chrono::milliseconds age{0};
};

void to_json(nlohmann::json& value, const reported_limit& limit);
/// Throws nlohmann::json::exception if `value` is not a valid limit.
void from_json(const nlohmann::json& value, reported_limit& limit);

using reported_limits = std::map<std::string, reported_limit>;

/// Keeps in `held` the newer report of each target.
void keep_newest(reported_limits& held, const reported_limits& other,
                 std::chrono::nanoseconds elapsed);

/// Divides the rate of requests that a target in need takes from all nodes together.
///
/// Answers the load pattern in which a target that can take a few requests a second has many nodes
/// before it, each with a small part of the traffic. An equal share for each of them would be too
/// small to be used, so a few owners send all requests to the target, evenly spaced. Each node
/// derives the owners from the list of live nodes alone. The rate used leaves room for the time in
/// which two nodes have different lists. Every sending counts, also a retry or a resumed stream,
/// because the target does not tell them apart. Performs no I/O.
class target_limits {
public:
  /// Fraction of a limit that all owners together use, so that it also holds while nodes differ
  /// about who owns it.
  static constexpr double used_fraction = 0.75;
  /// Each owner sends at least this many requests a second if the limit allows, since a share that
  /// is smaller than its traffic at that target is not wasted.
  static constexpr double min_owner_rate = 1.0;
  /// A target that names a smaller limit gets this many requests a second all the same. Otherwise
  /// no answer would ever tell that the limit is over.
  static constexpr double min_total_rate = 0.25;
  /// How long the end of a limit is remembered, so that late reports do not bring it back.
  static constexpr std::chrono::seconds memory_of_ended_limit{30};

  explicit target_limits(support::clock& time) : time_(time) {}

  /// Records what the start `started_at_ms` of a target said in an answer to this node.
  void observe(const std::string& target, std::int64_t started_at_ms,
               std::optional<double> requests_per_second);
  /// Applies what targets said to other nodes.
  void merge(const reported_limits& others);
  /// The latest reports known, to be sent to peers.
  reported_limits known() const;

  /// Drops the limits of targets that are gone or started anew, as `is_current` tells.
  void retain(
      const std::function<bool(const std::string& target, std::int64_t started_at_ms)>& is_current);

  /// Derives the shares of the node `self` from the ids of all other live nodes that serve. Call
  /// it several times a second.
  void update(const std::vector<std::string>& others, const std::string& self);

  /// Whether the target has named a limit.
  bool is_limited(const std::string& target, std::int64_t started_at_ms) const {
    return find_limited(target, started_at_ms) != nullptr;
  }
  /// Whether this node may send the target a request now.
  bool allows(const std::string& target, std::int64_t started_at_ms) const {
    return !next_at(target, started_at_ms);
  }
  /// When this node may send the target a request; nothing if it may now.
  std::optional<support::clock::time_point> next_at(const std::string& target,
                                                    std::int64_t started_at_ms) const;
  /// Counts a request that this node sends to the target.
  void count(const std::string& target, std::int64_t started_at_ms);

  /// Whether no target has named a limit lately.
  bool empty() const { return records_.empty(); }

private:
  struct record {
    std::int64_t started_at_ms = 0;
    std::optional<double> requests_per_second;
    support::clock::time_point reported_at;
    /// Time between two requests of this node; nothing if it owns no share.
    std::optional<std::chrono::nanoseconds> interval;
    support::clock::time_point next_at;
  };

  void apply(const std::string& target, std::int64_t started_at_ms,
             std::optional<double> requests_per_second, support::clock::time_point reported_at);
  const record* find_limited(const std::string& target, std::int64_t started_at_ms) const;

  support::clock& time_;
  std::map<std::string, record> records_;
};

} // namespace camphorlug::gateway
