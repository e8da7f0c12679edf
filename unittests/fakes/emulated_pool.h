#pragma once

#include "camphorlug/gateway/engine_profile.h"
#include "camphorlug/gateway/target_registry.h"
#include "camphorlug/replicas/order_result.h"
#include "camphorlug/replicas/replica_order.h"
#include "camphorlug/support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorlug::fakes {

/// An engine profile with two models and the load times of the users' installations.
gateway::engine_profile two_model_engine();

/// One instance of the emulated pool.
struct emulated_instance {
  std::string id;
  std::string domain;
  std::string data_centre;
  std::int64_t started_at_ms = 1;
  bool alive = true;
  /// The instance cannot update its entry in the store.
  bool cut = false;
  bool draining = false;
  std::set<std::string> staged_models;
  std::string resident_model;
  std::uint64_t newest_epoch = 0;
  std::uint64_t newest_fence = 0;
  std::optional<gateway::group_membership> membership;
  std::vector<std::string> members;
  support::clock::time_point ready_at;
  std::string staging_model;
  support::clock::time_point staging_done_at;
};

/// Emulates how engine instances carry out orders, including the time that
/// this takes. Records a violation if a group opens with a wrong number of
/// members or before all of them were ready, or if a member joins another group
/// while the head of its current group is open, or if an epoch is given out twice. Together these
/// detect a group that serves while it must not and an instance that is taken from a serving head.
/// Orders may be delayed (`late_order_probability`).
class emulated_pool {
public:
  emulated_pool(support::clock& time, gateway::engine_profile engine, std::uint64_t seed)
      : time_(time), engine_(std::move(engine)), random_(seed) {}

  void add(const std::string& id, const std::string& domain);
  emulated_instance& at(const std::string& id) { return runners_.at(id); }
  std::map<std::string, emulated_instance>& runners() { return runners_; }

  /// Submits an order to an instance and returns the result that the planner receives.
  replicas::order_result submit(const replicas::replica_order& order);
  /// Probability that an order gets no answer and is carried out 2 to 12 s later.
  double late_order_probability = 0;

  /// Applies everything that is due at the current time. Call it after each step of the clock.
  void advance();
  /// The entries in the store now. Instances that have been dead or cut off for more than 3.6 s
  /// have none.
  std::map<std::string, gateway::registered_target> entries();

  /// Restarts an instance: it keeps its staged models and loses all other state.
  void restart(const std::string& id);
  void kill(const std::string& id) { at(id).alive = false; }

  /// Number of serving groups by model. A model whose groups are all incomplete counts zero.
  std::map<std::string, std::size_t> serving() const;
  /// Descriptions of the violated invariants.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Start time of each load from the weight store.
  const std::vector<support::clock::time_point>& loads() const { return loads_; }
  /// Number of joins that had to wait for a load.
  std::size_t slow_joins() const { return slow_joins_; }
  /// Whether callers send requests. Without traffic, loads take a tenth of the time.
  bool traffic = false;

private:
  struct delayed_order {
    replicas::replica_order order;
    support::clock::time_point due;
  };

  replicas::order_result carry_out(const replicas::replica_order& order);
  replicas::order_result join(emulated_instance& runner, const replicas::replica_order& order);
  replicas::order_result open(emulated_instance& runner, const replicas::replica_order& order);
  const gateway::model_profile& model(const std::string& name) const;
  std::chrono::nanoseconds load_time(const std::string& name) const;
  void check_epoch(const replicas::replica_order& order);
  void check_join(const emulated_instance& runner, const replicas::replica_order& order);
  void check_open(const emulated_instance& head);

  support::clock& time_;
  gateway::engine_profile engine_;
  std::mt19937_64 random_;
  std::map<std::string, emulated_instance> runners_;
  std::map<std::string, support::clock::time_point> last_heartbeat_;
  std::vector<delayed_order> delayed_orders_;
  /// Members that have been ready at some time, as GROUP/EPOCH/ID.
  std::set<std::string> ever_ready_;
  /// The members for which each epoch was first given out.
  std::map<std::uint64_t, std::vector<std::string>> members_by_epoch_;
  std::vector<std::string> violations_;
  std::vector<support::clock::time_point> loads_;
  std::size_t slow_joins_ = 0;
  std::uint64_t versions_ = 0;
};

} // namespace camphorlug::fakes
