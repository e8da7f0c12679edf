#include "camphorlug/routing/affinity_picker.h"
#include "camphorlug/routing/decaying_count.h"
#include "camphorlug/routing/hash_picker.h"
#include "camphorlug/routing/least_loaded_picker.h"
#include "camphorlug/routing/random_picker.h"
#include "camphorlug/support/digest.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <list>
#include <queue>
#include <unordered_map>

DEFINE_uint64(seed, 1, "seed of the random arrivals");
DEFINE_int32(groups, 15, "number of groups that serve the model");
DEFINE_int32(requests, 60000, "number of requests to simulate");

namespace camphorlug {

/// Shared preambles follow a Zipf distribution with this exponent: a few account for
/// most of the requests.
static constexpr std::size_t preambles = 400;
static constexpr double zipf_exponent = 0.8;
static constexpr std::size_t preambles_per_cache = 40;
/// Prefill time of an uncached preamble and decode time of a response.
static constexpr double prefill_s = 0.4;
static constexpr double decode_s = 1.0;
static constexpr std::size_t engine_slots = 16;
/// Age of the load that an engine reports.
static constexpr double report_lag_s = 2.0;
static constexpr double utilisation = 0.7;

/// Simulates one group's engine: its slots, an LRU cache of preambles and delayed load reports.
struct engine {
  std::size_t running = 0;
  std::deque<std::size_t> waiting;
  std::list<std::size_t> cache;
  std::deque<std::pair<double, std::size_t>> reports;

  /// Returns whether the preamble was cached, and makes it the most recently used entry.
  bool access_cache(std::size_t preamble) {
    const auto found = std::find(cache.begin(), cache.end(), preamble);
    const bool hit = found != cache.end();
    if (hit)
      cache.erase(found);
    cache.push_front(preamble);
    if (cache.size() > preambles_per_cache)
      cache.pop_back();
    return hit;
  }

  std::size_t reported_load(double now) {
    while (reports.size() > 1 && reports[1].first <= now - report_lag_s)
      reports.pop_front();
    return reports.empty() || reports.front().first > now - report_lag_s ? 0
                                                                         : reports.front().second;
  }

  void record_load(double now) { reports.push_back({now, running + waiting.size()}); }
};

struct arrival {
  double at = 0;
  std::size_t preamble = 0;
};

struct result {
  double hit_rate = 0;
  double first_token_p95_s = 0;
  /// Maximum over all seconds of the busiest group's arrivals divided by the mean per group.
  double peak_to_mean_load = 0;
};

static std::vector<arrival> make_arrivals(support::random_source& random, std::size_t groups) {
  std::vector<double> weights;
  for (std::size_t i = 0; i < preambles; ++i)
    weights.push_back(1 / std::pow(double(i + 1), zipf_exponent));
  std::discrete_distribution<std::size_t> preamble(weights.begin(), weights.end());
  const double rate = utilisation * double(groups * engine_slots) / (prefill_s / 2 + decode_s);
  std::exponential_distribution<double> interarrival_time(rate);
  std::vector<arrival> arrivals(static_cast<std::size_t>(FLAGS_requests));
  double now = 0;
  for (arrival& each : arrivals) {
    now += interarrival_time(random.engine());
    each = {now, preamble(random.engine())};
  }
  return arrivals;
}

/// Simulates target selection at one node, which knows its own requests in progress but sees
/// all other load with a delay.
class simulation {
public:
  simulation(const routing::target_picker& picker, std::size_t groups)
      : picker_(picker), random_(FLAGS_seed + 1), engines_(groups), targets_(groups),
        sent_(groups) {
    for (std::size_t i = 0; i < groups; ++i)
      targets_[i].id = "g-" + std::to_string(i);
  }

  result run(const std::vector<arrival>& arrivals) {
    std::vector<std::size_t> arrivals_by_group(engines_.size(), 0);
    double second = 1;
    result outcome;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      arrivals_ = &arrivals;
      finish_until(arrivals[i].at);
      if (arrivals[i].at > second) {
        outcome.peak_to_mean_load =
            std::max(outcome.peak_to_mean_load, peak_to_mean_ratio(arrivals_by_group));
        std::fill(arrivals_by_group.begin(), arrivals_by_group.end(), 0);
        second += 1;
      }
      const std::size_t chosen = choose(arrivals[i]);
      ++arrivals_by_group[chosen];
      start_or_wait(chosen, i, arrivals[i].at);
    }
    finish_until(arrivals.back().at + 1000);
    std::sort(first_tokens_.begin(), first_tokens_.end());
    outcome.hit_rate = double(hits_) / double(arrivals.size());
    outcome.first_token_p95_s = first_tokens_[std::size_t(0.95 * double(first_tokens_.size() - 1))];
    return outcome;
  }

private:
  struct completion {
    double at;
    std::size_t engine;
    bool operator>(const completion& other) const { return at > other.at; }
  };

  static double peak_to_mean_ratio(const std::vector<std::size_t>& counts) {
    std::size_t sum = 0;
    for (const std::size_t count : counts)
      sum += count;
    if (sum < 5 * counts.size())
      return 0;
    return double(*std::max_element(counts.begin(), counts.end())) * double(counts.size()) /
           double(sum);
  }

  static std::chrono::nanoseconds to_duration(double seconds) {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
  }

  std::size_t choose(const arrival& request) {
    std::vector<routing::candidate> candidates;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      // The node's own requests, a tenth of the load, are known exactly; the rest is reported
      // with a delay. A report loses weight exponentially with its age (to 1/e in 2 s in
      // lib/routing/service_router.cpp); here each one is `report_lag_s` old.
      const double reported = double(engines_[i].reported_load(request.at)) * std::exp(-1.0);
      const double own = double(engines_[i].running + engines_[i].waiting.size()) / 10;
      const double recent = sent_[i].value(to_duration(request.at));
      candidates.push_back(
          {&targets_[i], support::fast_hash(targets_[i].id), own + reported, recent});
    }
    const std::size_t chosen = picker_.pick(
        support::fast_hash("p" + std::to_string(request.preamble)), candidates, random_);
    sent_[chosen].add(to_duration(request.at));
    return chosen;
  }

  void start_or_wait(std::size_t chosen, std::size_t request, double now) {
    engine& target = engines_[chosen];
    if (target.running < engine_slots)
      start(chosen, request, now);
    else
      target.waiting.push_back(request);
    target.record_load(now);
  }

  void start(std::size_t chosen, std::size_t request, double now) {
    engine& target = engines_[chosen];
    ++target.running;
    const bool hit = target.access_cache((*arrivals_)[request].preamble);
    hits_ += hit ? 1 : 0;
    const double prefill = hit ? prefill_s / 10 : prefill_s;
    first_tokens_.push_back(now + prefill - (*arrivals_)[request].at);
    completions_.push({now + prefill + decode_s, chosen});
  }

  void finish_until(double now) {
    while (!completions_.empty() && completions_.top().at <= now) {
      const completion done = completions_.top();
      completions_.pop();
      engine& target = engines_[done.engine];
      --target.running;
      if (!target.waiting.empty()) {
        const std::size_t request = target.waiting.front();
        target.waiting.pop_front();
        start(done.engine, request, done.at);
      }
      target.record_load(done.at);
    }
  }

  const routing::target_picker& picker_;
  support::random_source random_;
  std::vector<engine> engines_;
  std::vector<groups::routable_target> targets_;
  std::vector<routing::decaying_count> sent_;
  std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
  const std::vector<arrival>* arrivals_ = nullptr;
  std::vector<double> first_tokens_;
  std::size_t hits_ = 0;
};

static void report(const char* name, const routing::target_picker& picker,
                   const std::vector<arrival>& arrivals) {
  simulation run(picker, static_cast<std::size_t>(FLAGS_groups));
  const result outcome = run.run(arrivals);
  std::printf("| %s | %.3f | %.3f | %.2f |\n", name, outcome.hit_rate, outcome.first_token_p95_s,
              outcome.peak_to_mean_load);
}

static int run() {
  support::random_source random(FLAGS_seed);
  const auto arrivals = make_arrivals(random, static_cast<std::size_t>(FLAGS_groups));
  std::printf("| picker | cache hit rate | first token p95 s | largest share over mean |\n"
              "|---|---|---|---|\n");
  report("affinity", routing::affinity_picker(), arrivals);
  report("random", routing::random_picker(), arrivals);
  report("least load", routing::least_loaded_picker(), arrivals);
  report("pure hashing", routing::hash_picker(), arrivals);
  return 0;
}

} // namespace camphorlug

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphorlug::run();
}
