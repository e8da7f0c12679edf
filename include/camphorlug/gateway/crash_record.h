#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace camphorlug::gateway {

/// One process of a target: a target that starts again under the same id is another one.
struct target_start {
  std::string target;
  /// See `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;

  auto operator<=>(const target_start&) const = default;
};

/// What requests that crash targets may have in common: a part of their prompt, in the requests for
/// one service, or all that the caller sent.
struct crash_cause {
  /// Empty for a whole request: which service it is sent to depends on the configuration.
  std::string service;
  /// Id of the part as named by callers, or of the whole request.
  std::string id;

  auto operator<=>(const crash_cause&) const = default;
};

/// Returns the cause that a suspect's id names in the requests for `service`.
crash_cause make_cause(const std::string& service, const std::string& id);

/// A prompt part of requests that a target had received, but not answered for long, when it
/// crashed, or a whole request that it had not answered completely.
struct crash_suspect {
  /// Index in the prompt, or the number of its parts for a whole request. Fewer requests share the
  /// later parts.
  std::size_t position = 0;
  /// Time from the sending of the latest of these requests to the crash.
  std::chrono::microseconds waited{0};
  /// A target has answered such a request since, so that the suspect is not the cause.
  bool cleared = false;
  /// A target has answered such a request at some time, so that the suspect is the cause less
  /// probably than one that was never answered.
  bool answered_before = false;
  /// Elements that a later build has added.
  std::string unknown_elements{};

  bool operator==(const crash_suspect&) const = default;
};

/// The crash of a target under requests.
struct crash_record {
  std::string service;
  support::clock::time_point crashed_at;
  /// By id of the cause.
  std::map<std::string, crash_suspect> suspects;
  /// Elements that a later build has added.
  std::string unknown_elements{};

  crash_cause cause(const std::string& id) const { return make_cause(service, id); }
  /// Whether the cause is a suspect that has not been cleared.
  bool accuses(const crash_cause& accused) const;
};

} // namespace camphorlug::gateway
