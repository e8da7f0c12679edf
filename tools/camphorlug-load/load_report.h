#pragma once

#include "camphorlug/caller/reference_caller.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::load {

/// Key by which results are aggregated.
struct report_key {
  std::string organisation;
  std::string class_name;
  auto operator<=>(const report_key&) const = default;
};

/// Results of the requests with one report_key.
struct caller_statistics {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t incomplete = 0;
  /// Refused requests that were retried after Retry-After, and those of them that completed.
  std::size_t retried = 0;
  std::size_t served_on_retry = 0;
  std::size_t tokens = 0;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<double> total_ms;
  std::vector<double> refusal_ms;
};

/// Aggregates request results by organisation and class.
class load_report {
public:
  void record(const report_key& key, const caller::caller_result& result);
  void record_retry(const report_key& key, const caller::caller_result& result);

  std::string to_json(std::chrono::seconds duration) const;
  std::string to_text(std::chrono::seconds duration) const;

private:
  std::map<report_key, caller_statistics> statistics_by_key_;
};

} // namespace camphorlug::load
