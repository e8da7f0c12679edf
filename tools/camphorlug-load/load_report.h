#pragma once

#include "camphorlug/caller/reference_caller.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::load {

/// Who sent a request.
struct caller_label {
  std::string organisation;
  std::string class_name;
  auto operator<=>(const caller_label&) const = default;
};

/// What came of one label's requests.
struct caller_tally {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t incomplete = 0;
  /// Refused callers that came back when told, and those of them that got in.
  std::size_t returned = 0;
  std::size_t served_on_return = 0;
  std::size_t tokens = 0;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<double> total_ms;
  std::vector<double> refusal_ms;
};

/// Results by organisation and class.
class load_report {
public:
  void record(const caller_label& label, const caller::caller_result& result);
  void record_return(const caller_label& label, const caller::caller_result& result);

  std::string to_json(std::chrono::seconds duration) const;
  std::string to_text(std::chrono::seconds duration) const;

private:
  std::map<caller_label, caller_tally> tallies_;
};

} // namespace camphorlug::load
