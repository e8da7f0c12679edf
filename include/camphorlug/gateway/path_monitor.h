#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// Finds out whether this node's own connections to the targets of a service still lead anywhere.
///
/// Answers the pattern in which a node loses its way to all targets while callers, the store and
/// the other nodes still reach it: connections hang or are reset, or only new ones are refused. A
/// single target that fails, or a moment in which all are silent, is no such loss. Performs no I/O.
class path_monitor {
public:
  /// Targets of a service that fail with no answer of the service in between.
  static constexpr std::size_t failed_targets_that_prove_loss = 2;
  /// Failures further apart are not related.
  static constexpr std::chrono::milliseconds failure_memory{3000};
  /// A service is silent if requests have waited for several of its targets for this long while
  /// none of them sent anything. Sound targets may pause for a second, or be overloaded, so a probe
  /// has to confirm that the way is lost.
  static constexpr std::chrono::milliseconds silence_limit{1200};
  /// Without any answer for this long, what fails at this node may fail because of its own
  /// connections; sooner, the targets fail.
  static constexpr std::chrono::milliseconds doubt_after{300};
  /// Probes of targets in a row that have to be answered until the loss counts as over.
  static constexpr int probes_that_end_loss = 2;

  /// A request that waits for a target on a connection of this node. Registered while it exists.
  class wait {
  public:
    /// `abandon` is called, perhaps more than once, if the way to the service is lost while the
    /// target is silent.
    wait(path_monitor& monitor, std::string service, std::string target,
         std::function<void()> abandon);
    ~wait() { monitor_.waits_.erase(number_); }
    wait(const wait&) = delete;
    wait& operator=(const wait&) = delete;

    /// Records that the target has sent something.
    void record_answer();

  private:
    friend path_monitor;
    path_monitor& monitor_;
    std::uint64_t number_;
    std::string service_;
    std::string target_;
    std::function<void()> abandon_;
    support::clock::time_point last_answer_;
  };

  explicit path_monitor(support::clock& time) : time_(time) {}

  /// Records that no connection to the target could be established, or that one broke before the
  /// target sent anything.
  void record_failure(const std::string& service, const std::string& target);
  /// Records the result of a probe while the way to the service is lost.
  void record_probe(const std::string& service, bool answered);
  /// Ends waits that have become pointless. Call it several times a second.
  void check();
  /// Returns the services that are silent and for which this was not asked within
  /// `silence_limit`. The caller probes a target of each and calls `record_silence` if it does not
  /// answer.
  std::vector<std::string> take_silent_services();
  void record_silence(const std::string& service);

  /// Whether requests for the service should take another way. A service that was not used since
  /// the way to another one was lost is thought to be lost with it.
  bool has_lost(const std::string& service) const;
  /// Services to which the way is proved to be lost.
  std::vector<std::string> lost_services() const;
  /// Whether the way to all services that this node has used is lost.
  bool has_lost_all() const;

  /// Whether what this node sees of a target may be due to its own connections.
  bool is_in_doubt() const;
  bool answered_since(support::clock::time_point start) const { return last_answer_ > start; }

private:
  struct loss {
    support::clock::time_point since;
    int answered_probes = 0;
  };

  void record_answer(const std::string& service);
  bool is_silent(const std::string& service) const;
  void begin_loss(const std::string& service);
  /// Ends waits that keep slots of targets occupied although nothing can arrive.
  void abandon_silent_waits();
  std::optional<support::clock::time_point> last_answer(const std::string& service) const;

  support::clock& time_;
  /// In the order of their beginning.
  std::map<std::uint64_t, const wait*> waits_;
  std::uint64_t last_wait_ = 0;
  /// Failed targets by service, with the time of the failure.
  std::map<std::string, std::map<std::string, support::clock::time_point>> failures_;
  std::map<std::string, support::clock::time_point> answers_;
  support::clock::time_point last_answer_;
  std::map<std::string, loss> losses_;
  /// When the silence of each service was last reported.
  std::map<std::string, support::clock::time_point> silence_taken_;
};

} // namespace camphorlug::gateway
