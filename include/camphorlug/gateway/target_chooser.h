#pragma once

#include "camphorlug/gateway/chosen_target.h"
#include "camphorlug/gateway/group_directory.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/support/random_source.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::gateway {

/// The targets that can serve the same requests.
struct target_pool {
  std::string service;
  /// Empty for a plain service.
  std::string model;

  auto operator<=>(const target_pool&) const = default;
};

/// Chooses the target of a request: the least loaded one over all nodes, the
/// own data centre first when loads are near, none that failed this request
/// before, and suspects only when nothing else is left. In a large pool it
/// looks at a few targets drawn at random, so that a choice costs the same at
/// any size, and at all of them only when none of these has room.
class target_chooser {
public:
  target_chooser(const target_registry& registry, group_directory& groups, load_tracker& loads,
                 const suspicion_list& suspicions, support::random_source& random,
                 std::string data_centre)
      : registry_(registry), groups_(groups), loads_(loads), suspicions_(suspicions),
        random_(random), data_centre_(std::move(data_centre)) {}

  /// Nothing when no target of the pool has a free slot.
  std::optional<chosen_target> choose(const target_pool& pool,
                                      const std::set<std::string>& avoided);

  /// Slots of all targets of the pool that may get requests.
  std::size_t slots(const target_pool& pool);
  /// Whether a target of the pool has a free slot.
  bool has_room(const target_pool& pool);
  /// Whether one that is neither avoided nor suspected has a free slot.
  bool has_sound_room(const target_pool& pool, const std::set<std::string>& avoided);

private:
  struct candidate {
    chosen_target target;
    bool near = false;
    bool warming_up = false;
  };
  /// The targets of a pool while neither entries nor groups change.
  struct pool_view {
    std::uint64_t revision = 0;
    /// Those of the own data centre first.
    std::vector<candidate> candidates;
    std::size_t near = 0;
    std::size_t slots = 0;
  };
  /// The best of the candidates that were looked at.
  struct selection {
    const candidate* best = nullptr;
    double cost = 0;
  };

  const pool_view& view_of(const target_pool& pool);
  std::vector<candidate> candidates(const target_pool& pool);
  bool has_room(const candidate& each) {
    return loads_.in_flight(each.target.id) < each.target.slots;
  }
  double cost(const candidate& each);
  void consider(const candidate& each, const std::set<std::string>& avoided, bool with_suspects,
                selection& chosen);
  const candidate& draw(const pool_view& view, bool near);

  const target_registry& registry_;
  group_directory& groups_;
  load_tracker& loads_;
  const suspicion_list& suspicions_;
  support::random_source& random_;
  std::string data_centre_;
  std::map<target_pool, pool_view> views_;
};

} // namespace camphorlug::gateway
