#pragma once

#include "camphorlug/gateway/cold_targets.h"
#include "camphorlug/gateway/load_tracker.h"
#include "camphorlug/gateway/slot_scheduler.h"
#include "camphorlug/scheduling/schedulable_target.h"
#include "camphorlug/scheduling/slot_ask.h"
#include "camphorlug/scheduling/waiting_asks.h"
#include "camphorlug/support/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace camphorlug::scheduling {

/// Assigns the slots of one pool's targets to the requests of all nodes. Performs no I/O.
///
/// Answers the load pattern in which many nodes compete for slots at a peak. What a node knows of
/// the others is older than the time in which a slot changes hands, so nodes that choose by
/// themselves send some targets far more than they have slots while others stay free, and requests
/// wait at targets, where no order reaches them. One scheduler knows each slot that it has
/// assigned. It keeps the wait of all nodes in one fair order, leaves no slot free while a request
/// waits, and refuses at once what would wait in vain. Requests that can still meet their objective
/// go before those that cannot, so that returns of refused requests don't make the next ones late.
class pool_scheduler {
public:
  using decision = gateway::scheduled_slot;
  /// Called once with the decision on an ask that has waited.
  using decision_handler = std::function<void(const decision&)>;

  /// The slots of a node that has sent nothing for this long are free again.
  static constexpr std::chrono::milliseconds node_timeout{2500};
  /// A node's report of its slots may cross with grants that are younger than this.
  static constexpr std::chrono::milliseconds report_grace{300};
  /// Fraction of the starts that a cold target tolerates which the scheduler uses. The rest is left
  /// to nodes that do not reach it.
  static constexpr double cold_fraction = gateway::cold_targets::scheduler_fraction;

  explicit pool_scheduler(support::clock& time)
      : time_(time), waiting_(time), arrivals_at_(time.now()) {}

  /// Sets the targets that can take requests now, and how many prompt tokens each of them reads a
  /// second; 0 if that is not known.
  void set_targets(const std::vector<schedulable_target>& targets, double tokens_per_second);

  /// Decides on an ask, or keeps it and calls `decide` later. Returns the ask's number in that
  /// case, otherwise 0; `decide` has then been called.
  std::uint64_t submit(slot_ask ask, decision_handler decide);
  /// Assigns what has become free with time, such as targets that have read their prompts.
  void assign();
  /// The same unless that was done less than `interval` ago.
  void assign_after(std::chrono::nanoseconds interval);
  /// Refuses a waiting ask.
  void end_wait(std::uint64_t number);
  /// Drops a waiting ask without a decision.
  void cancel(std::uint64_t number);

  /// Gives back a slot of the node. `sequence` is the position of the message among those of the
  /// node, 0 if unknown: a report that the node made later counts without the slot already.
  void release(const std::string& node, const std::string& target, std::uint64_t sequence = 0);
  /// Applies the number of requests that a node has at each target.
  void report_held(const std::string& node, const gateway::target_loads& held,
                   std::uint64_t sequence = 0);

  /// Ends waits that are in vain and drops nodes that have gone. Call it several times a second.
  void expire();

  /// Requests of an organisation that got a slot or were refused one.
  struct slot_counts {
    std::size_t granted = 0;
    std::size_t refused = 0;
  };
  /// Returns the counts of all organisations since the last call.
  std::map<std::string, slot_counts> take_counts() { return std::exchange(counts_, {}); }

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t in_flight(const std::string& target) const;
  std::size_t total_in_flight() const;
  /// Slots of all targets.
  std::size_t slots() const { return slots_; }

private:
  struct target_state {
    schedulable_target info;
    std::size_t in_flight = 0;
    /// Prompt tokens that the target has not read yet, as of `tokens_at`.
    double unread_tokens = 0;
    support::clock::time_point tokens_at;
    /// Starts that a cold target may still get, as of `starts_at`.
    double starts_left = 1;
    support::clock::time_point starts_at;
    bool usable = false;
    /// Hash of the id.
    std::uint64_t mixed = 0;
    /// Fraction of the slots in use, as in `free_targets_`; nothing if it is not in there.
    std::optional<double> listed_load;
    /// When it takes a further prompt, as in `reading_targets_`; nothing if it is not in there.
    std::optional<support::clock::time_point> read_at;
  };
  /// Orders targets by load, then in an order that mixes the data centres.
  struct by_load {
    bool operator()(const target_state* one, const target_state* other) const {
      return std::tie(*one->listed_load, one->mixed, one->info.target.id) <
             std::tie(*other->listed_load, other->mixed, other->info.target.id);
    }
  };
  struct held_slots {
    std::size_t count = 0;
    /// Times of the grants whose slots are in use, oldest first.
    std::vector<support::clock::time_point> starts;
  };
  struct node_state {
    std::map<std::string, held_slots> targets;
    support::clock::time_point heard_at;
    /// Position of the last report among the messages of the node.
    std::uint64_t report_sequence = 0;
  };

  /// Updates the target's place in `free_targets_` or `reading_targets_`. Call it after each change
  /// of the target.
  void list_if_free(target_state& each);
  /// Lists the targets as free that have read enough of their prompts.
  void list_read_targets();
  /// Time until the target has few enough prompts to read for a further one.
  std::chrono::nanoseconds time_to_read(const target_state& each) const;
  target_state* choose(const slot_ask& ask);
  double cost(const target_state& each, const slot_ask& ask) const;
  /// The prompt's tokens as far as the caller's statement is believed.
  double believed_tokens(const slot_ask& ask) const;
  double unread_tokens(const target_state& each) const;
  void refill_starts(target_state& each) const;
  decision grant(const slot_ask& ask, target_state& chosen);
  /// Slots that become free in a second while all are in use.
  double drain_rate() const;
  /// The part of it that the requests in time leave to the others.
  double spare_rate() const;
  std::chrono::nanoseconds expected_wait(const slot_ask& ask);
  std::chrono::nanoseconds expected_wait_of_overdue(const slot_ask& ask);
  /// Whether the ask gets a slot while that is of use.
  bool can_be_served(const slot_ask& ask);
  decision refuse(const slot_ask& ask);
  void expire_nodes();
  void expire_waits();
  void record_hold(std::chrono::nanoseconds held);
  void set_count(held_slots& held, target_state& target, std::size_t count);

  support::clock& time_;
  std::map<std::string, target_state> targets_;
  /// The usable targets with a free slot and few prompts to read, so that a choice does not look at
  /// all targets.
  std::set<target_state*, by_load> free_targets_;
  /// Those with a free slot that first have to read prompts.
  std::set<std::pair<support::clock::time_point, target_state*>> reading_targets_;
  std::size_t slots_ = 0;
  std::size_t usable_targets_ = 0;
  /// The slots and targets that take as many requests as they have room for, and the starts a
  /// second of those that are cold.
  std::size_t warm_slots_ = 0;
  std::size_t warm_targets_ = 0;
  double cold_starts_per_second_ = 0;
  std::map<std::string, node_state> nodes_;
  waiting_asks waiting_;
  std::map<std::string, slot_counts> counts_;
  std::uint64_t last_number_ = 0;
  support::clock::time_point assigned_at_;
  double tokens_per_second_ = 0;
  double mean_prompt_tokens_ = 0;
  std::chrono::duration<double> mean_hold_{0.5};
  /// Asks in time a second, exponentially averaged, as of `arrivals_at_`.
  double arrival_rate_ = 0;
  support::clock::time_point arrivals_at_;
  /// Until then, places are promised to the callers of refused requests.
  support::clock::time_point next_return_;
};

} // namespace camphorlug::scheduling
