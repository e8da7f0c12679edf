#pragma once

#include "camphorlug/gateway/chosen_target.h"
#include "camphorlug/gateway/group_directory.h"
#include "camphorlug/gateway/load_board.h"
#include "camphorlug/gateway/suspicion_list.h"
#include "camphorlug/support/random_source.h"

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
/// before, and suspects only when nothing else is left.
class target_chooser {
public:
  target_chooser(const target_registry& registry, group_directory& groups, const load_board& loads,
                 const suspicion_list& suspicions, support::random_source& random,
                 std::string data_centre)
      : registry_(registry), groups_(groups), loads_(loads), suspicions_(suspicions),
        random_(random), data_centre_(std::move(data_centre)) {}

  /// Nothing when no target of the pool has a free slot.
  std::optional<chosen_target> choose(const target_pool& pool,
                                      const std::set<std::string>& avoided);

  /// Slots of all targets of the pool that may get requests.
  std::size_t slots(const target_pool& pool);
  /// Requests in flight at them.
  std::size_t in_flight(const target_pool& pool);

private:
  struct candidate;
  std::vector<candidate> candidates(const target_pool& pool);
  double cost(const candidate& each) const;

  const target_registry& registry_;
  group_directory& groups_;
  const load_board& loads_;
  const suspicion_list& suspicions_;
  support::random_source& random_;
  std::string data_centre_;
};

} // namespace camphorlug::gateway
