#pragma once

#include "camphorlug/documents/service_document.h"
#include "camphorlug/groups/group_view.h"
#include "camphorlug/routing/concurrency_window.h"
#include "camphorlug/routing/decaying_count.h"
#include "camphorlug/routing/target_health.h"
#include "camphorlug/routing/target_picker.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorlug::routing {

/// Picks targets for one service's requests at one node, and tracks the load and
/// health of each target from the results of these requests.
class service_router {
public:
  service_router(std::string service, groups::group_view& groups, const target_picker& picker,
                 support::clock& time, support::random_source& random,
                 std::set<std::string> near_data_centres);

  /// Applies the limits of a service document that came into force.
  void configure(const documents::service_document& document);

  /// Picks a target for a request and takes a slot there, which `release_slot`
  /// frees. Targets in `tried` are picked only if there is no other. Returns
  /// nothing if no target is routable.
  std::optional<groups::routable_target> pick(std::uint64_t affinity,
                                              const std::vector<std::string>& tried);

  /// Takes a slot at a target that was not chosen by `pick`.
  void acquire_slot(const std::string& target);

  /// Frees a slot that `pick` or `acquire_slot` took.
  void release_slot(const std::string& target);

  /// Records that a response began `latency` after its request was sent.
  void on_response(const std::string& target, std::chrono::nanoseconds latency);

  /// Records that a request failed or was refused.
  void on_failure(const std::string& target);

  /// Returns the routable target with this id, if there is one.
  std::optional<groups::routable_target> find(const std::string& target) const;

  /// Number of requests that can be sent now without exceeding the concurrency
  /// window of any target.
  std::size_t free_slots() const;

  /// Sum of the concurrency windows of all routable targets.
  std::size_t total_slots() const;

private:
  struct target_state {
    explicit target_state(std::size_t window) : window(window) {}
    std::size_t in_flight = 0;
    concurrency_window window;
    target_health health;
    decaying_count recent_sent;
  };

  target_state& state_of(const std::string& target);
  std::vector<candidate> candidates(const std::vector<groups::routable_target>& targets,
                                    const std::vector<std::string>& tried);
  void eject_stragglers(const std::vector<groups::routable_target>& targets);
  void keep_preferred(std::vector<candidate>& list);
  double load_of(const groups::routable_target& target, const target_state& state) const;

  std::string service_;
  groups::group_view& groups_;
  const target_picker& picker_;
  support::clock& time_;
  support::random_source& random_;
  std::set<std::string> near_data_centres_;
  std::size_t max_window_ = 64;
  std::chrono::nanoseconds first_token_target_{std::chrono::milliseconds(660)};
  std::unordered_map<std::string, target_state> states_;
};

} // namespace camphorlug::routing
