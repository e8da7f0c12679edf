#pragma once

#include "camphorlug/gateway/crash_evidence.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Finds the prompt parts that crash each target that begins to answer a request with them, and the
/// requests that crash each target that runs them, and bans both: such requests are rejected
/// without reaching a target.
///
/// Answers two load patterns: requests that share such a part arrive at any node, with no two
/// alike; and one request is repeated at any node. Either ends one target after the other. What a
/// crash says is shared between nodes, since a single node sees too few of them. Performs no I/O.
///
/// Suspects are named by their ids, see `crash_suspects_of`.
class crash_cause_list {
public:
  /// A crash is shared with the other nodes only after this time, unless it supports what earlier
  /// crashes say. Until then most of the suspects that did not cause it are cleared by an answer of
  /// another target.
  static constexpr std::chrono::milliseconds publication_delay{500};
  /// A loss that was not confirmed as a crash within this time is dropped.
  static constexpr std::chrono::milliseconds confirmation_timeout{5000};
  /// Number of suspects whose latest answers are remembered, at the least.
  static constexpr std::size_t remembered_answers = 8192;

  explicit crash_cause_list(support::clock& time) : time_(time) {}

  /// Records that a target has answered and not crashed: its answer has gone on for a while, for
  /// parts of a prompt, or is complete, for a whole request.
  void record_answer(const std::string& service, const std::vector<std::string>& suspects);

  /// Records that a connection broke before the suspects were known not to crash the target. The
  /// target may have crashed; see `take_unconfirmed`.
  void record_loss(const std::string& service, const std::vector<std::string>& suspects,
                   const target_start& start, support::clock::time_point sent_at);

  /// Returns the targets that may have crashed and for which this was not asked before. The caller
  /// finds out whether they did and calls `confirm`.
  std::vector<target_start> take_unconfirmed();
  void confirm(const target_start& start, bool crashed);

  /// Publishes confirmed crashes. Call it several times a second.
  void update();

  /// Returns the first of the suspects that is banned.
  std::optional<std::string> find_banned(const std::string& service,
                                         const std::vector<std::string>& suspects) const;

  /// Ends a ban: what is known against the cause no longer counts, at any node.
  void lift(const crash_cause& cause);

  /// Number of published crashes that accuse the whole request with this identity.
  std::size_t crashes_under(const std::string& request) const {
    return evidence_.crashes_under(request);
  }

  const crash_evidence& evidence() const { return evidence_; }
  /// Merges the evidence of another node, or evidence that was stored. Throws
  /// nlohmann::json::exception.
  bool merge_json(const std::string& text);
  std::string to_json(const crash_cause* only = nullptr) const {
    return evidence_.to_json(time_.now(), only);
  }

private:
  struct pending_crash {
    crash_record record;
    bool asked = false;
    bool confirmed = false;
  };

  void add_suspects(crash_record& record, const std::vector<std::string>& suspects,
                    support::clock::time_point sent_at) const;
  void limit_suspects(crash_record& record) const;
  std::optional<support::clock::time_point> last_answer(const crash_cause& cause) const;
  /// Whether published crashes accuse one of the record's suspects.
  bool supports_evidence(const crash_record& record) const;
  /// Applies to shared records what targets have answered at this node.
  void apply_answers();
  void log_changes();

  support::clock& time_;
  std::map<target_start, pending_crash> pending_;
  crash_evidence evidence_;
  /// Two generations of latest answers by suspect; the older one is dropped when the newer is full.
  std::map<crash_cause, support::clock::time_point> answers_;
  std::map<crash_cause, support::clock::time_point> older_answers_;
  /// The bans that were logged.
  std::map<crash_cause, std::size_t> logged_;
};

} // namespace camphorlug::gateway
