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

/// Engines of two models with the times of the users' installations.
gateway::engine_profile two_model_engine();

/// One instance of the emulated pool.
struct emulated_instance {
  std::string id;
  std::string domain;
  std::int64_t started_at_ms = 1;
  bool alive = true;
  /// Its entry does not reach the store.
  bool cut = false;
  bool draining = false;
  std::set<std::string> staged_models;
  std::string resident_model;
  std::uint64_t newest_epoch = 0;
  std::uint64_t newest_fence = 0;
  std::optional<gateway::group_membership> membership;
  std::vector<std::string> members;
  support::clock::time_point ready_at;
  std::string staging;
  support::clock::time_point staged_at;
};

/// Emulates how engine instances carry out orders, with their times, and
/// watches that no group serves that must not and that no instance is taken
/// from under a serving head. Orders may be lost, late or repeated.
class emulated_pool {
public:
  emulated_pool(support::clock& time, gateway::engine_profile engine, std::uint64_t seed)
      : time_(time), engine_(std::move(engine)), random_(seed) {}

  void add(const std::string& id, const std::string& domain);
  emulated_instance& at(const std::string& id) { return runners_.at(id); }
  std::map<std::string, emulated_instance>& runners() { return runners_; }

  /// Gives an order to an instance; the result is what the planner hears.
  replicas::order_result submit(const replicas::replica_order& order);
  /// Part of the orders that get no answer and are carried out 2 to 12 s later.
  double late_order_probability = 0;

  /// Lets time take effect; call it after each step of the clock.
  void advance();
  /// What the store shows now, and nothing of those that are dead or cut for 3.6 s.
  std::map<std::string, gateway::registered_target> entries();

  /// The instance starts again and knows nothing of before.
  void restart(const std::string& id);
  void kill(const std::string& id) { at(id).alive = false; }

  /// Groups that serve, by model.
  std::map<std::string, std::size_t> serving() const;
  /// Rules that were broken, in words.
  const std::vector<std::string>& violations() const { return violations_; }
  /// When each load from the weight store began.
  const std::vector<support::clock::time_point>& loads() const { return loads_; }
  /// Joins that had to wait for a load.
  std::size_t slow_joins() const { return slow_joins_; }
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
  void check_join(const emulated_instance& runner, const replicas::replica_order& order);
  void check_open(const emulated_instance& head);

  support::clock& time_;
  gateway::engine_profile engine_;
  std::mt19937_64 random_;
  std::map<std::string, emulated_instance> runners_;
  std::map<std::string, support::clock::time_point> last_heartbeat_;
  std::vector<delayed_order> delayed_orders_;
  /// Members that were ever ready, by group, epoch and id.
  std::set<std::string> ever_ready_;
  std::vector<std::string> violations_;
  std::vector<support::clock::time_point> loads_;
  std::size_t slow_joins_ = 0;
  std::uint64_t versions_ = 0;
};

} // namespace camphorlug::fakes
