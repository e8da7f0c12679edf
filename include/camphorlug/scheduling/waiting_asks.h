#pragma once

#include "camphorlug/gateway/slot_scheduler.h"
#include "camphorlug/scheduling/fair_order.h"
#include "camphorlug/scheduling/slot_ask.h"
#include "camphorlug/support/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace camphorlug::scheduling {

/// An ask that waits for a slot, and what is called with the decision on it.
struct waiting_ask {
  slot_ask ask;
  std::function<void(const gateway::scheduled_slot&)> decide;
};

/// The asks that wait for slots of a pool, in the order in which they get them: those that can
/// still meet their objective, then by priority and organisation (`fair_order`), then by the end of
/// the objective. What each operation costs grows with the logarithm of the number of asks.
class waiting_asks {
public:
  explicit waiting_asks(support::clock& time) : time_(time) {}

  void add(std::uint64_t number, waiting_ask waiting);
  /// Number of the ask that gets the next slot; 0 if none waits.
  std::uint64_t first();
  const slot_ask& ask(std::uint64_t number) const { return asks_.at(number).waiting.ask; }
  bool contains(std::uint64_t number) const { return asks_.contains(number); }
  waiting_ask take(std::uint64_t number);
  /// Passes over the ask until `restore`, for example since it avoids all targets with a free slot.
  void set_aside(std::uint64_t number);
  void restore();
  /// Takes the asks for which `ends` is true, in the order of arrival.
  std::vector<waiting_ask> take_all(const std::function<bool(const slot_ask&)>& ends);

  /// Charges a request that has got a slot.
  void charge(int priority, const std::string& organisation, double cost);
  void forget_idle() { order_.forget_idle(); }

  bool is_overdue(const slot_ask& ask) const { return ask.in_time_until <= time_.now(); }
  /// Asks in time that get slots before a new one of the organisation, which takes turns with the
  /// others.
  std::size_t ahead_of(int priority, const std::string& organisation);
  std::size_t overdue();
  std::size_t size() const { return asks_.size(); }
  bool empty() const { return asks_.empty(); }

private:
  /// By the end of the objective, then in the order of arrival.
  using ask_key = std::pair<support::clock::time_point, std::uint64_t>;
  /// Asks in time and overdue asks are in lanes of their own.
  enum lane : std::size_t { in_time, late };
  static constexpr std::size_t lanes = 2;
  static constexpr std::size_t priorities = fair_order::max_priority + 1;

  struct flow;
  /// Position of a flow among those of its priority: the start of its next request, then the first
  /// ask.
  using flow_key = std::tuple<double, ask_key, flow*>;

  /// The asks of one organisation in one priority.
  struct flow {
    int priority = 0;
    std::string organisation;
    std::size_t waiting = 0;
    std::array<std::set<ask_key>, lanes> asks;
    /// Place in `ready` or `ahead` of the lane.
    std::array<flow_key, lanes> listed;
    std::array<bool, lanes> is_listed{};
    std::array<bool, lanes> is_ready{};
  };
  /// The flows of one priority with asks in one lane.
  struct flow_list {
    /// Flows that have had no more than the others, which are equal in the fair order.
    std::set<flow_key> ready;
    std::set<flow_key> ahead;
  };
  struct entry {
    waiting_ask waiting;
    flow* owner = nullptr;
    lane in = in_time;
    bool is_aside = false;
  };

  void list(flow& each, lane in);
  void unlist(flow& each, lane in);
  void insert(std::uint64_t number, entry& each);
  void erase(std::uint64_t number, entry& each);
  /// Moves the asks to the late lane that cannot meet their objective any more.
  void move_overdue();
  const flow_key* first_flow(int priority, lane in);
  void count_in_time(const flow& owner, int change);

  support::clock& time_;
  fair_order order_;
  /// By number, in the order of arrival.
  std::map<std::uint64_t, entry> asks_;
  std::map<std::pair<int, std::string>, flow> flows_;
  std::array<std::array<flow_list, priorities>, lanes> lists_;
  std::vector<std::uint64_t> aside_;
  std::set<ask_key> in_time_asks_;
  /// Asks in time of each organisation, of each priority and the more urgent ones.
  std::map<std::string, std::array<std::size_t, priorities>> in_time_counts_;
  /// For each priority: the number of organisations with at least 1, 2, ... asks in time of it and
  /// the more urgent ones.
  std::array<std::vector<std::size_t>, priorities> organisations_with_;
};

} // namespace camphorlug::scheduling
