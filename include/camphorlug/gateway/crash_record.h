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

/// A part of a prompt, as named by callers, in the requests for one service.
struct crash_cause {
  std::string service;
  std::string id;

  auto operator<=>(const crash_cause&) const = default;
};

/// A prompt part of requests that a target had received, but not begun to answer, when it crashed.
struct crash_suspect {
  /// Index in the prompt. Fewer requests share the later parts.
  std::size_t position = 0;
  /// Time from the sending of the latest of these requests to the crash.
  std::chrono::microseconds waited{0};
  /// A target has answered a request with this part since, so that the part is not the cause.
  bool cleared = false;

  bool operator==(const crash_suspect&) const = default;
};

/// The crash of a target under requests.
struct crash_record {
  std::string service;
  support::clock::time_point crashed_at;
  /// By id of the part.
  std::map<std::string, crash_suspect> suspects;

  /// Whether the part is a suspect that has not been cleared.
  bool accuses(const crash_cause& part) const;
};

} // namespace camphorlug::gateway
