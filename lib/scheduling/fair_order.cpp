#include "camphorlug/scheduling/fair_order.h"

#include <algorithm>
#include <cmath>

namespace camphorlug::scheduling {

int fair_order::in_range(int priority) {
  return std::clamp(priority, 0, fair_order::max_priority);
}

static double weight(int priority) {
  return std::pow(fair_order::priority_ratio, -priority);
}

double fair_order::virtual_time(int priority) const {
  const auto found = classes_.find(in_range(priority));
  return found == classes_.end() ? 0 : found->second.virtual_time;
}

fair_order::position fair_order::next(int priority, const std::string& organisation) const {
  const auto found = classes_.find(in_range(priority));
  if (found == classes_.end())
    return {virtual_time_, 0};
  const priority_class& own = found->second;
  const auto known = own.finish_of_organisations.find(organisation);
  const double finish = known == own.finish_of_organisations.end() ? 0 : known->second;
  return {std::max(own.finish, virtual_time_), std::max(finish, own.virtual_time)};
}

void fair_order::charge(int priority, const std::string& organisation, double cost) {
  const position start = next(priority, organisation);
  priority_class& own = classes_[in_range(priority)];
  virtual_time_ = std::max(virtual_time_, start.class_start);
  own.finish = start.class_start + cost / weight(in_range(priority));
  own.virtual_time = std::max(own.virtual_time, start.organisation_start);
  own.finish_of_organisations[organisation] = start.organisation_start + cost;
}

void fair_order::forget_idle() {
  for (auto& [priority, each] : classes_)
    std::erase_if(each.finish_of_organisations,
                  [&](const auto& entry) { return entry.second <= each.virtual_time; });
}

} // namespace camphorlug::scheduling
