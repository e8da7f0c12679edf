#include "camphorlug/gateway/evacuation_list.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

using std::chrono::milliseconds;

void to_json(nlohmann::json& value, const reported_evacuation& report) {
  value = {report.version, report.is_evacuated, report.age.count()};
}

void from_json(const nlohmann::json& value, reported_evacuation& report) {
  value.at(0).get_to(report.version);
  value.at(1).get_to(report.is_evacuated);
  report.age = milliseconds(value.at(2).get<std::int64_t>());
}

static void log_change(std::string_view event, const std::string& data_centre,
                       std::uint64_t version) {
  support::log_event(support::log_level::warning, event,
                     {{"data_centre", data_centre}, {"version", std::to_string(version)}});
}

void evacuation_list::change_time_limit(milliseconds time_limit) {
  closing_delay_ = std::max(time_limit - closing_margin, milliseconds(0));
}

void evacuation_list::update(const std::string& data_centre, std::uint64_t version,
                             bool is_evacuated, milliseconds age) {
  const auto [place, is_new] = records_.try_emplace(data_centre);
  record& held = place->second;
  const bool is_newer = is_new || version > held.version;
  const bool is_same = version == held.version && is_evacuated == held.is_evacuated;
  if (!is_newer && !is_same)
    return;
  if (!is_evacuated) {
    end(data_centre, held, version);
    return;
  }
  const auto announced_at = time_.now() - std::clamp(age, milliseconds(0), unknown_age);
  if (!held.is_evacuated) {
    log_change("evacuation_announced", data_centre, version);
    held.announced_at = announced_at;
  }
  held.version = version;
  held.is_evacuated = true;
  held.announced_at = std::min(held.announced_at, announced_at);
  held.missing_since.reset();
}

void evacuation_list::end(const std::string& data_centre, record& ended, std::uint64_t version) {
  if (ended.is_evacuated)
    log_change("evacuation_ended", data_centre, version);
  ended = {version, false, {}, {}};
}

void evacuation_list::retain(const std::set<std::string>& present, std::uint64_t version) {
  was_read_ = true;
  for (auto& [data_centre, each] : records_) {
    if (!each.is_evacuated || each.version > version || present.contains(data_centre))
      continue;
    if (table::era_of(version) > table::era_of(each.version)) {
      if (!each.missing_since)
        each.missing_since = time_.now();
      if (time_.now() - *each.missing_since < restored_store_grace)
        continue;
    }
    end(data_centre, each, version);
  }
}

void evacuation_list::merge(const reported_evacuations& others) {
  was_read_ = true;
  for (const auto& [data_centre, report] : others)
    update(data_centre, report.version, report.is_evacuated, report.age);
}

reported_evacuations evacuation_list::known() const {
  reported_evacuations reports;
  for (const auto& [data_centre, each] : records_) {
    // The age of what has ended says nothing and would change each message.
    const auto age = each.is_evacuated
                         ? std::chrono::duration_cast<milliseconds>(time_.now() - each.announced_at)
                         : milliseconds(0);
    reports[data_centre] = {each.version, each.is_evacuated, std::min(age, unknown_age)};
  }
  return reports;
}

bool evacuation_list::is_evacuated(const std::string& data_centre) const {
  const auto found = records_.find(data_centre);
  return found != records_.end() && found->second.is_evacuated;
}

bool evacuation_list::is_closed(const std::string& data_centre) const {
  const auto found = records_.find(data_centre);
  return found != records_.end() && is_closed(found->second);
}

std::set<std::string> evacuation_list::evacuated() const {
  std::set<std::string> found;
  for (const auto& [data_centre, each] : records_) {
    if (each.is_evacuated)
      found.insert(data_centre);
  }
  return found;
}

std::uint64_t evacuation_list::revision() {
  if (records_.empty())
    return revision_;
  std::set<std::string> closed;
  for (const auto& [data_centre, each] : records_) {
    if (is_closed(each))
      closed.insert(data_centre);
  }
  if (closed != closed_at_revision_) {
    for (const std::string& data_centre : closed) {
      if (!closed_at_revision_.contains(data_centre))
        log_change("data_centre_closed", data_centre, records_.at(data_centre).version);
    }
    closed_at_revision_ = std::move(closed);
    ++revision_;
  }
  return revision_;
}

} // namespace camphorlug::gateway
