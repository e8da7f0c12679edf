#pragma once

#include "camphorlug/support/config_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::load {

/// One stream of callers with the same key and habits.
struct caller_plan {
  std::string organisation;
  std::string key;
  std::string class_name;
  /// Mean of the random arrivals.
  std::int64_t rate_per_minute = 60;
  /// Tokens of an answer; 0 for requests to a plain service.
  std::int64_t tokens = 16;
  /// Path below the service, for plain services.
  std::string path = "/v1/chat/completions";
  std::int64_t prompt_characters = 200;
  /// Different preambles that prompts begin with; 0 for none in common.
  std::int64_t preambles = 0;
  /// A refused caller comes back once, when it was told to.
  bool obeys_retry_after = false;
};

/// What to send, as a plan file says.
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
