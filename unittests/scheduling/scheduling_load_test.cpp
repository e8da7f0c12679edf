#include "scheduler_fixture.h"

#include "camphorlug/support/random_source.h"

#include "fakes/gateway_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using gateway::scheduled_slot;
using std::chrono::duration;
using std::chrono::nanoseconds;

namespace {

constexpr std::size_t slots = 8;
/// Mean time that a request runs; actual times are uniform between half and one and a half of it.
constexpr duration<double> mean_run{0.3};
/// A request that has not begun to run by then is late.
constexpr auto in_time = 200ms;
/// No request waits longer for a slot.
constexpr auto latest = 1000ms;
constexpr auto message_delay = 2ms;
constexpr auto give_back_delay = 10ms;
/// Age of the sums of loads by which nodes choose, and the interval at which they get them.
constexpr auto sum_age = 400ms;
constexpr auto sum_interval = 100ms;

nanoseconds rounded(duration<double> span) {
  return std::chrono::duration_cast<nanoseconds>(span);
}

struct organisation_load {
  std::string name;
  /// Part of the arrivals.
  double part = 1;
  int sent = 0;
  int served_in_time = 0;
  int served = 0;
};

/// Targets that run at most `slots` requests at once; what is sent beyond that waits in them.
class emulated_targets {
public:
  struct state {
    std::size_t running = 0;
    std::queue<std::function<void()>> queued;
  };
  std::map<std::string, state> all;
  std::size_t most = 0;

  void arrive(const std::string& id, std::function<void()> begin) {
    state& target = all[id];
    target.queued.push(std::move(begin));
    most = std::max(most, target.running + target.queued.size());
    start(target);
  }
  void end(const std::string& id) {
    --all[id].running;
    start(all[id]);
  }

private:
  static void start(state& target) {
    while (target.running < slots && !target.queued.empty()) {
      ++target.running;
      const auto begin = std::move(target.queued.front());
      target.queued.pop();
      begin();
    }
  }
};

/// A fleet before emulated targets. The load is a function of time, as a part of the capacity.
class load_replay {
public:
  load_replay(std::size_t node_count, std::size_t target_count, std::function<double(double)> load)
      : world_(target_count, slots), nodes_(node_count), load_(std::move(load)) {
    begin_ = world_.clock.now();
    chooser_.chooser.set_node_count(node_count);
    for (const auto& target : world_.targets)
      chooser_.add_target(target.target.id, slots);
  }

  void run(duration<double> span, bool scheduled) {
    scheduled_ = scheduled;
    ends_at_ = begin_ + rounded(span);
    at(0ns, [this] { arrive(); });
    if (!scheduled)
      at(0ns, [this] { exchange_sums(); });
    at(100ms, [this] { expire(); });
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      world_.run_for(next.at - world_.clock.now());
      next.act();
    }
  }

  double share_in_time() const {
    double sent = 0, in_time_count = 0;
    for (const auto& each : organisations) {
      sent += each.sent;
      in_time_count += each.served_in_time;
    }
    return in_time_count / sent;
  }

  std::vector<organisation_load> organisations{{"a"}, {"b"}, {"c"}, {"d"}};
  /// Callers that are refused return once after this multiple of the wait that they were told; 0
  /// if they don't return.
  double return_after = 0;
  int returned = 0;
  int served_on_return = 0;
  emulated_targets targets;
  /// Times at which a slot was free while a request waited.
  int idle_while_waiting = 0;

private:
  struct event {
    support::clock::time_point at;
    std::uint64_t number;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };
  struct request {
    std::size_t organisation = 0;
    support::clock::time_point arrived_at;
    bool is_return = false;
    std::string node;
  };

  void at(nanoseconds delay, std::function<void()> act) {
    events_.push({world_.clock.now() + delay, ++last_number_, std::move(act)});
  }

  void arrive() {
    const auto now = world_.clock.now();
    if (now >= ends_at_)
      return;
    request sent;
    double part = random_.uniform_real() * total_part();
    while (sent.organisation + 1 < organisations.size() &&
           part >= organisations[sent.organisation].part)
      part -= organisations[sent.organisation++].part;
    sent.arrived_at = now;
    sent.node = "n" + std::to_string(random_.below(nodes_));
    ++organisations[sent.organisation].sent;
    send(sent);
    const double seconds = duration<double>(now - begin_).count();
    const double rate =
        load_(seconds) * static_cast<double>(world_.targets.size() * slots) / mean_run.count();
    at(rounded(duration<double>(-std::log(1 - random_.uniform_real()) / rate)),
       [this] { arrive(); });
  }

  double total_part() const {
    double sum = 0;
    for (const auto& each : organisations)
      sum += each.part;
    return sum;
  }

  void send(const request& sent) {
    if (!scheduled_) {
      choose(sent);
      return;
    }
    at(message_delay, [this, sent] {
      scheduling::slot_ask ask;
      ask.node = sent.node;
      ask.data_centre = "dc-0";
      ask.organisation = organisations[sent.organisation].name;
      ask.priority = 2;
      ask.in_time_until = sent.arrived_at + in_time;
      ask.latest_start = world_.clock.now() + latest;
      world_.scheduler.submit(ask, [this, sent](const scheduled_slot& decided) {
        at(message_delay, [this, sent, decided] { apply(sent, decided); });
      });
      check_idle();
    });
  }

  void apply(const request& sent, const scheduled_slot& decided) {
    if (decided.result == scheduled_slot::outcome::granted) {
      run_at(sent, decided.target.id);
      return;
    }
    if (return_after <= 0 || sent.is_return)
      return;
    const auto wait = rounded(duration<double>(decided.retry_after) * return_after);
    ++returned;
    at(wait, [this, sent] {
      request again = sent;
      again.is_return = true;
      send(again);
    });
  }

  /// The node chooses by itself, and tries again while it waits.
  void choose(const request& sent) {
    const auto chosen = chooser_.chooser.choose({"shop", ""}, {});
    if (chosen)
      run_at(sent, chosen->id);
    else if (world_.clock.now() - sent.arrived_at < latest)
      at(50ms, [this, sent] { choose(sent); });
  }

  void run_at(const request& sent, const std::string& target) {
    ++sent_to_[target];
    targets.arrive(target, [this, sent, target] {
      auto& organisation = organisations[sent.organisation];
      ++organisation.served;
      organisation.served_in_time +=
          world_.clock.now() <= sent.arrived_at + in_time + 2 * message_delay ? 1 : 0;
      served_on_return += sent.is_return ? 1 : 0;
      const auto span = rounded(mean_run * (0.5 + random_.uniform_real()));
      at(span, [this, sent, target] {
        targets.end(target);
        --sent_to_[target];
        at(give_back_delay, [this, sent, target] {
          if (scheduled_)
            world_.scheduler.release(sent.node, target);
          check_idle();
        });
      });
    });
  }

  void exchange_sums() {
    const gateway::target_loads sums = sent_to_;
    at(sum_age, [this, sums] { chooser_.loads.update_peer("others", sums); });
    if (world_.clock.now() < ends_at_)
      at(sum_interval, [this] { exchange_sums(); });
  }

  void expire() {
    for (std::size_t i = 0; i < nodes_; ++i)
      world_.scheduler.release("n" + std::to_string(i), "none");
    world_.scheduler.expire();
    if (world_.clock.now() < ends_at_ + 10s)
      at(100ms, [this] { expire(); });
  }

  void check_idle() {
    if (world_.scheduler.waiting() > 0 &&
        world_.scheduler.total_in_flight() < world_.scheduler.slots())
      ++idle_while_waiting;
  }

  scheduling::scheduler_fixture world_;
  fakes::gateway_fixture chooser_;
  support::random_source random_{1};
  std::size_t nodes_;
  std::function<double(double)> load_;
  bool scheduled_ = true;
  support::clock::time_point begin_;
  support::clock::time_point ends_at_;
  gateway::target_loads sent_to_;
  std::priority_queue<event> events_;
  std::uint64_t last_number_ = 0;
};

/// Waves of 55 % around 80 % of the capacity: at their tops, a fourth more than it.
double waves(double seconds) {
  return 0.8 * (1 + 0.55 * std::sin(seconds * 2 * M_PI / 5));
}

} // namespace

BOOST_DATA_TEST_CASE(scheduler_serves_more_in_time_than_nodes_with_old_sums,
                     data::make({6, 26, 71, 300}), nodes) {
  const std::size_t target_count = std::max(nodes * 5 / 6, 5);
  load_replay scheduled(nodes, target_count, waves);
  scheduled.run(10s, true);
  load_replay by_sums(nodes, target_count, waves);
  by_sums.run(10s, false);
  BOOST_TEST_MESSAGE(nodes << " nodes: in time " << scheduled.share_in_time() << " by scheduler, "
                           << by_sums.share_in_time() << " by sums; most at a target "
                           << scheduled.targets.most << " and " << by_sums.targets.most);
  BOOST_TEST(scheduled.share_in_time() > by_sums.share_in_time());
  BOOST_TEST(static_cast<double>(scheduled.targets.most) <= 1.1 * slots);
  BOOST_TEST(scheduled.idle_while_waiting == 0);
}

BOOST_AUTO_TEST_CASE(greedy_organisation_is_held_to_its_share_while_others_are_short) {
  load_replay replay(26, 20, [](double) { return 1.3; });
  replay.organisations.push_back({"greedy", 5});
  replay.run(10s, true);
  const auto& greedy = replay.organisations.back();
  for (const auto& each : replay.organisations)
    BOOST_TEST_MESSAGE(each.name << " sent " << each.sent << ", in time " << each.served_in_time
                                 << ", served " << each.served);
  // Each of the others asks for less than a fifth of the slots.
  for (std::size_t i = 0; i + 1 < replay.organisations.size(); ++i) {
    const auto& each = replay.organisations[i];
    BOOST_TEST(each.served_in_time >= 0.95 * each.sent);
  }
  BOOST_TEST(greedy.served < 0.7 * greedy.sent);
}

BOOST_AUTO_TEST_CASE(greedy_organisation_is_unhindered_while_there_is_room) {
  load_replay replay(26, 20, [](double) { return 0.7; });
  replay.organisations.push_back({"greedy", 5});
  replay.run(10s, true);
  for (const auto& each : replay.organisations)
    BOOST_TEST(each.served_in_time >= 0.99 * each.sent);
}

/// A peak of two seconds at 1.5 times the capacity, then half of it.
static double one_peak(double seconds) {
  return seconds < 2 ? 1.5 : 0.5;
}

BOOST_AUTO_TEST_CASE(callers_that_return_when_told_are_mostly_served_then) {
  load_replay replay(26, 20, one_peak);
  replay.return_after = 1;
  replay.run(8s, true);
  BOOST_TEST_MESSAGE(replay.served_on_return << " of " << replay.returned << " served");
  BOOST_REQUIRE(replay.returned > 100);
  BOOST_TEST(replay.served_on_return > 0.5 * replay.returned);
}

BOOST_AUTO_TEST_CASE(callers_that_return_too_early_gain_nothing) {
  load_replay obedient(26, 20, waves);
  obedient.return_after = 1;
  obedient.run(10s, true);
  load_replay early(26, 20, waves);
  early.return_after = 0.1;
  early.run(10s, true);
  const double by_obedient = double(obedient.served_on_return) / obedient.returned;
  const double by_early = double(early.served_on_return) / early.returned;
  BOOST_TEST_MESSAGE("served on return: when told " << by_obedient << ", early " << by_early);
  BOOST_TEST(by_early <= by_obedient);
  BOOST_TEST(early.share_in_time() >= 0.98 * obedient.share_in_time());
}
