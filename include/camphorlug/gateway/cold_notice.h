#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace camphorlug::gateway {

/// That a target said in a response that it is cold, as sent to peers.
struct cold_notice {
  /// Start of the target; see `target_entry::started_at_ms`.
  std::int64_t started_at_ms = 0;
  std::chrono::milliseconds remaining{0};

  bool operator==(const cold_notice&) const = default;
};

/// By target.
using cold_notices = std::map<std::string, cold_notice>;

void to_json(nlohmann::json& value, const cold_notice& notice);
/// Throws nlohmann::json::exception if `value` is not a valid notice.
void from_json(const nlohmann::json& value, cold_notice& notice);

} // namespace camphorlug::gateway
