#include "slot_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <ostream>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using scheduling::slot_fleet;

namespace {

constexpr auto load_time = 8000ms;
/// Largest prompt, in tokens, and the mean of an exponential distribution up to it.
constexpr double largest_prompt = 5880;
constexpr double mean_prompt = 1400;

/// A small fleet, in which each node queues by itself, and one with a scheduler, with the times
/// that the streams of their customers take.
struct fleet_size {
  std::size_t nodes;
  std::size_t targets;
  std::chrono::milliseconds mean_hold;
};

std::ostream& operator<<(std::ostream& out, const fleet_size& each) {
  return out << each.nodes << " nodes";
}

const fleet_size sizes[] = {{6, 8, 1200ms}, {71, 30, 600ms}};

struct counts {
  double sent = 0;
  double in_time = 0;
  double served = 0;

  double share_in_time() const { return in_time / sent; }
  double share_served() const { return served / sent; }
};

/// Counts requests by what `key` returns. Repetitions count for the request that they repeat.
std::map<std::string, counts>
count_by(const slot_fleet& fleet,
         const std::function<std::string(const slot_fleet::outcome&)>& key) {
  std::map<std::string, counts> found;
  for (const slot_fleet::outcome& each : fleet.outcomes) {
    counts& of_key = found[key(each)];
    of_key.sent += each.is_repetition ? 0 : 1;
    of_key.served += each.has_slot ? 1 : 0;
    const bool is_in_time =
        each.has_slot && each.begun_at - each.arrived_at <= slot_fleet::objective_wait + 20ms;
    of_key.in_time += is_in_time && !each.is_repetition ? 1 : 0;
  }
  return found;
}

std::string organisation_of(const slot_fleet::outcome& each) {
  return each.asked.organisation;
}

/// One organisation sends a part of all requests, the others the rest in equal parts.
struct crowd {
  std::size_t others;
  double part_of_one;
  /// How often callers of the one repeat at once what was refused.
  int repetitions = 0;

  slot_fleet::description draw(support::random_source& random) const {
    slot_fleet::description asked;
    const bool is_of_one = random.uniform_real() < part_of_one;
    asked.organisation = is_of_one ? "one" : "other-" + std::to_string(random.below(others));
    asked.repetitions = is_of_one ? repetitions : 0;
    asked.prompt_tokens =
        std::min(largest_prompt, -mean_prompt * std::log(1 - random.uniform_real()));
    return asked;
  }
};

struct crowd_case {
  const char* name;
  crowd senders;
  /// Multiple of what the targets can take.
  double load;
};

std::ostream& operator<<(std::ostream& out, const crowd_case& each) {
  return out << each.name;
}

/// The others together ask for less than the slots in each case.
const crowd_case crowds[] = {
    {"greedy organisation", {4, 0.54}, 1.3},
    {"hot key", {23, 0.28}, 1.25},
    {"retries at once", {7, 0.3, 3}, 1.2},
    {"many retries of a greedy one", {4, 0.5, 3}, 1.5},
};

void run(slot_fleet& fleet, const crowd& senders, double load) {
  fleet.run_load(
      load_time, [load](double) { return load; }, [&] { return senders.draw(fleet.random); });
  fleet.run_idle(3s);
}

} // namespace

BOOST_DATA_TEST_CASE(others_are_served_in_time_beside_a_greedy_organisation,
                     data::make(sizes) * data::make(crowds), size, each) {
  slot_fleet fleet(size.nodes, size.targets, 1);
  fleet.mean_hold = size.mean_hold;
  run(fleet, each.senders, each.load);
  const auto found = count_by(fleet, organisation_of);
  double worst = 1;
  for (const auto& [name, of_organisation] : found) {
    if (name != "one")
      worst = std::min(worst, of_organisation.share_in_time());
  }
  BOOST_TEST_MESSAGE(size << ", " << each << ": worst of the others " << worst << ", the one "
                          << found.at("one").share_in_time() << " in time, "
                          << found.at("one").share_served() << " served");
  BOOST_TEST(worst >= 0.95);
  BOOST_TEST(found.at("one").share_in_time() < worst);
}

BOOST_DATA_TEST_CASE(greedy_organisation_is_unhindered_while_all_have_room,
                     data::make(sizes) * data::make(crowds), size, each) {
  slot_fleet fleet(size.nodes, size.targets, 1);
  fleet.mean_hold = size.mean_hold;
  run(fleet, each.senders, 0.7);
  for (const auto& [name, of_organisation] : count_by(fleet, organisation_of))
    BOOST_TEST(of_organisation.share_in_time() >= 0.99);
}

/// Waves of 55 % around 90 % of what the targets can take, from two classes of all zones.
BOOST_DATA_TEST_CASE(nobody_starves_in_waves, data::make(sizes), size) {
  slot_fleet fleet(size.nodes, size.targets, 1);
  fleet.mean_hold = size.mean_hold;
  const crowd senders{12, 0.08};
  fleet.run_load(
      15s, [](double at) { return 0.9 * (1 + 0.55 * std::sin(at * 2 * M_PI / 5)); },
      [&] {
        slot_fleet::description asked = senders.draw(fleet.random);
        asked.priority = fleet.random.below(5) == 0 ? 2 : 1;
        return asked;
      });
  fleet.run_idle(3s);
  const std::pair<const char*, std::function<std::string(const slot_fleet::outcome&)>> groups[] = {
      {"class", [](const auto& sent) { return std::to_string(sent.asked.priority); }},
      {"organisation", organisation_of},
      {"zone", [](const auto& sent) { return sent.data_centre; }},
      {"size tenth",
       [](const auto& sent) {
         return std::to_string(
             static_cast<int>(10 * std::exp(-sent.asked.prompt_tokens / mean_prompt)));
       }},
  };
  const double mean = count_by(fleet, [](const auto&) { return ""; }).at("").share_in_time();
  for (const auto& [name, key] : groups) {
    double worst = 1;
    for (const auto& [value, of_value] : count_by(fleet, key))
      worst = std::min(worst, of_value.share_in_time());
    BOOST_TEST_MESSAGE(size << ", worst " << name << " " << worst << " in time, mean " << mean);
    BOOST_TEST(worst >= 0.5 * mean);
  }
}
