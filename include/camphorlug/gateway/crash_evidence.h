#pragma once

#include "camphorlug/gateway/crash_record.h"
#include "camphorlug/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace camphorlug::gateway {

/// The crashes of targets that all nodes together have seen, and the prompt parts and whole
/// requests that may have caused them.
///
/// Nodes merge each other's evidence in any order and any number of times with the same result:
/// records and suspects are only added, and a cleared suspect stays cleared. Its size is bounded,
/// whatever callers name as parts of their prompts.
class crash_evidence {
public:
  static constexpr std::size_t max_records = 64;
  /// More than the prompts hold that a header of 16 KiB names with ids of 16 characters.
  static constexpr std::size_t max_suspects_per_record = 1024;
  /// Suspects of all records; the records that prove a cause fit.
  static constexpr std::size_t max_suspects = 4096;
  /// Crashes under requests with a suspect, each under a request that was sent after the crash
  /// before, that show that the suspect causes them. Targets that fail together count as one, and a
  /// target that fails by itself seldom does so three times in a row under one suspect that no
  /// other target answers in between.
  static constexpr std::size_t crashes_that_prove_cause = 3;

  /// Merges a record. Returns whether the evidence has changed.
  bool merge(const target_start& start, const crash_record& record);

  /// Records that targets were answering requests with these suspects, each at its time, and had
  /// not crashed: clears them in the records of earlier crashes.
  void apply_answers(const std::map<crash_cause, support::clock::time_point>& answers);

  const std::map<target_start, crash_record>& records() const { return records_; }

  /// The parts and requests that cause crashes, with the number of crashes that each of them
  /// explains. A crash counts for one cause only: the one that explains the most.
  const std::map<crash_cause, std::size_t>& proven_causes() const { return proven_; }

  /// Number of crashes that accuse the whole request with this identity.
  std::size_t crashes_under(const std::string& request) const;

  /// Differs between two different states of the evidence; 0 if there is none.
  std::uint64_t digest() const { return digest_; }

  /// The records as of `now`, with ages in microseconds in place of times: a retry can crash a
  /// second target within a millisecond, and the order of crashes decides. With `only`, just the
  /// records that accuse this cause, without other suspects.
  std::string to_json(support::clock::time_point now, const crash_cause* only = nullptr) const;
  /// Merges records in that form; passes over those that it cannot read. Returns whether the
  /// evidence has changed. Throws nlohmann::json::exception if `text` is not a list.
  bool merge_json(const std::string& text, support::clock::time_point now);

private:
  bool apply_answer(const crash_cause& cause, support::clock::time_point answered_at);
  std::size_t suspect_count() const;
  bool merge_without_update(const target_start& start, const crash_record& record);
  void evict_if_full();
  void update();

  std::map<target_start, crash_record> records_;
  std::map<crash_cause, std::size_t> proven_;
  /// Crashes that accuse each whole request.
  std::map<std::string, std::size_t> accused_requests_;
  std::uint64_t digest_ = 0;
};

} // namespace camphorlug::gateway
