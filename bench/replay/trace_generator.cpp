#include "replay/trace_generator.h"

#include <algorithm>
#include <random>

namespace camphorlug::replay {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr seconds removal_notice{60};
/// Time until a replacement instance is added: after a failure, and after a planned removal.
static constexpr minutes failure_replacement{10};
static constexpr seconds planned_replacement{90};
static constexpr minutes outage_start{10};
static constexpr minutes outage_duration{30};
static constexpr minutes rolling_interval{3};
/// A failed switch silences every n-th instance of a domain.
static constexpr std::size_t switch_failure_stride = 5;

std::string domain_name(std::size_t index) {
  return "f" + std::to_string(index);
}

std::string instance_name(const pool_shape& shape, std::size_t index) {
  return domain_name(index / shape.per_domain) + "-i" + std::to_string(index % shape.per_domain);
}

static std::string replacement_name(const std::string& instance, std::size_t count) {
  return instance.substr(0, instance.find('+')) + "+" + std::to_string(count);
}

namespace {

/// The current instance name at each position of the pool. A replacement takes over the
/// position before its `add` event.
class live_instances {
public:
  explicit live_instances(const pool_shape& shape) {
    for (std::size_t i = 0; i < shape.instances(); ++i)
      names_.push_back(instance_name(shape, i));
  }

  std::size_t pick(std::mt19937_64& random) const {
    return std::uniform_int_distribution<std::size_t>(0, names_.size() - 1)(random);
  }

  const std::string& name(std::size_t position) const { return names_[position]; }

  std::string domain(std::size_t position) const {
    return names_[position].substr(0, names_[position].find('-'));
  }

  std::string replace(std::size_t position) {
    names_[position] = replacement_name(names_[position], ++replaced_);
    return names_[position];
  }

private:
  std::vector<std::string> names_;
  std::size_t replaced_ = 0;
};

} // namespace

static void add_replacement(std::vector<replay_event>& events, live_instances& pool,
                            std::size_t position, milliseconds at, bool planned) {
  const std::string name = pool.name(position);
  const std::string domain = pool.domain(position);
  if (planned) {
    events.push_back({at, event_kind::leave, name, "", milliseconds(0)});
    events.push_back({at + removal_notice, event_kind::remove, name, "", milliseconds(0)});
    at += removal_notice + planned_replacement;
  } else {
    events.push_back({at, event_kind::fail, name, "", milliseconds(0)});
    at += failure_replacement;
  }
  events.push_back({at, event_kind::add, pool.replace(position), domain, milliseconds(0)});
}

static void sort_by_time(std::vector<replay_event>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& left, const auto& right) { return left.at < right.at; });
}

std::vector<replay_event> make_random_faults(const pool_shape& shape, const trace_rates& rates,
                                             std::uint64_t seed) {
  std::mt19937_64 random(seed);
  live_instances pool(shape);
  std::vector<replay_event> events;
  const double sum = rates.failures_per_day + rates.replacements_per_day + rates.freezes_per_day;
  std::exponential_distribution<double> gap_days(sum);
  std::uniform_real_distribution<double> draw(0, sum);
  std::uniform_int_distribution<int> freeze_ms(500, 8000);
  double day = gap_days(random);
  const double days = std::chrono::duration<double>(rates.length).count() / 86'400;
  for (; day < days; day += gap_days(random)) {
    const milliseconds at(static_cast<std::int64_t>(day * 86'400'000));
    const std::size_t position = pool.pick(random);
    const double kind = draw(random);
    if (kind < rates.failures_per_day)
      add_replacement(events, pool, position, at, false);
    else if (kind < rates.failures_per_day + rates.replacements_per_day)
      add_replacement(events, pool, position, at, true);
    else
      events.push_back(
          {at, event_kind::freeze, pool.name(position), "", milliseconds(freeze_ms(random))});
  }
  sort_by_time(events);
  return events;
}

std::vector<replay_event> make_domain_outage(const pool_shape&) {
  return {
      {outage_start, event_kind::domain_down, domain_name(0), "", milliseconds(0)},
      {outage_start + outage_duration, event_kind::domain_up, domain_name(0), "", milliseconds(0)},
      {outage_start + 2 * outage_duration, event_kind::domain_up, domain_name(0), "",
       milliseconds(0)}};
}

std::vector<replay_event> make_switch_failure(const pool_shape& shape) {
  std::vector<replay_event> events;
  for (std::size_t i = 0; i < shape.per_domain; i += switch_failure_stride)
    events.push_back(
        {outage_start, event_kind::freeze, instance_name(shape, i), "", outage_duration});
  return events;
}

std::vector<replay_event> make_rolling_replacement(const pool_shape& shape) {
  std::vector<replay_event> events;
  live_instances pool(shape);
  for (std::size_t i = 0; i < shape.instances(); ++i)
    add_replacement(events, pool, i, rolling_interval * static_cast<int>(i + 1), true);
  sort_by_time(events);
  return events;
}

std::vector<replay_event> make_version_rollout() {
  return {{minutes(5), event_kind::version, "v2", "", milliseconds(0)},
          {minutes(65), event_kind::version, "v2", "", milliseconds(0)}};
}

} // namespace camphorlug::replay
