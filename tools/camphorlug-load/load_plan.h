#pragma once

#include "camphorlug/support/config_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::load {

/// A stream of callers that share a key, a request shape and an arrival rate.
struct caller_plan {
  std::string organisation;
  std::string key;
  std::string class_name;
  /// Mean rate of the Poisson arrivals.
  std::int64_t rate_per_minute = 60;
  /// Tokens requested per response; 0 for requests to a plain service.
  std::int64_t tokens = 16;
  /// Request path, relative to the service.
  std::string path = "/v1/chat/completions";
  std::int64_t prompt_characters = 200;
  /// Number of distinct preambles that prompts share; 0 gives each prompt its own.
  std::int64_t preambles = 0;
  /// Whether a refused caller retries once, after the time that Retry-After gives.
  bool obeys_retry_after = false;
};

/// The contents of a plan file: what to send, where and for how long.
struct load_plan {
  std::vector<std::string> entries;
  std::string service;
  std::chrono::seconds duration{10};
  std::uint64_t seed = 1;
  std::vector<caller_plan> callers;

  static std::optional<load_plan> parse(std::string_view text, std::string file,
                                        support::config_errors& errors);
};

} // namespace camphorlug::load
