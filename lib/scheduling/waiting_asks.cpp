#include "camphorlug/scheduling/waiting_asks.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace camphorlug::scheduling {

void waiting_asks::add(std::uint64_t number, waiting_ask waiting) {
  const int priority = fair_order::in_range(waiting.ask.priority);
  flow& owner = flows_[{priority, waiting.ask.organisation}];
  if (owner.organisation.empty()) {
    owner.priority = priority;
    owner.organisation = waiting.ask.organisation;
  }
  ++owner.waiting;
  const lane in = is_overdue(waiting.ask) ? late : in_time;
  entry& added = asks_[number] = {std::move(waiting), &owner, in};
  insert(number, added);
}

void waiting_asks::insert(std::uint64_t number, entry& each) {
  const ask_key key{each.waiting.ask.in_time_until, number};
  unlist(*each.owner, each.in);
  each.owner->asks[each.in].insert(key);
  list(*each.owner, each.in);
  if (each.in == in_time) {
    in_time_asks_.insert(key);
    count_in_time(*each.owner, 1);
  }
}

void waiting_asks::erase(std::uint64_t number, entry& each) {
  const ask_key key{each.waiting.ask.in_time_until, number};
  unlist(*each.owner, each.in);
  each.owner->asks[each.in].erase(key);
  list(*each.owner, each.in);
  if (each.in == in_time) {
    in_time_asks_.erase(key);
    count_in_time(*each.owner, -1);
  }
}

waiting_ask waiting_asks::take(std::uint64_t number) {
  const auto found = asks_.find(number);
  const flow& owner = *found->second.owner;
  if (!found->second.is_aside)
    erase(number, found->second);
  waiting_ask taken = std::move(found->second.waiting);
  asks_.erase(found);
  --flows_.at({owner.priority, owner.organisation}).waiting;
  if (owner.waiting == 0)
    flows_.erase(flows_.find({owner.priority, owner.organisation}));
  return taken;
}

void waiting_asks::set_aside(std::uint64_t number) {
  entry& each = asks_.at(number);
  erase(number, each);
  each.is_aside = true;
  aside_.push_back(number);
}

void waiting_asks::restore() {
  for (const std::uint64_t number : std::exchange(aside_, {})) {
    const auto found = asks_.find(number);
    if (found != asks_.end() && std::exchange(found->second.is_aside, false))
      insert(number, found->second);
  }
}

std::vector<waiting_ask> waiting_asks::take_all(const std::function<bool(const slot_ask&)>& ends) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, each] : asks_) {
    if (ends(each.waiting.ask))
      numbers.push_back(number);
  }
  std::vector<waiting_ask> taken;
  taken.reserve(numbers.size());
  for (const std::uint64_t number : numbers)
    taken.push_back(take(number));
  return taken;
}

void waiting_asks::list(flow& each, lane in) {
  if (each.asks[in].empty())
    return;
  const double start = order_.next(each.priority, each.organisation).organisation_start;
  const bool is_ready = start <= order_.virtual_time(each.priority);
  each.listed[in] = {is_ready ? 0 : start, *each.asks[in].begin(), &each};
  each.is_listed[in] = true;
  each.is_ready[in] = is_ready;
  flow_list& among = lists_[in][static_cast<std::size_t>(each.priority)];
  (is_ready ? among.ready : among.ahead).insert(each.listed[in]);
}

void waiting_asks::unlist(flow& each, lane in) {
  if (!std::exchange(each.is_listed[in], false))
    return;
  flow_list& among = lists_[in][static_cast<std::size_t>(each.priority)];
  (each.is_ready[in] ? among.ready : among.ahead).erase(each.listed[in]);
}

void waiting_asks::charge(int priority, const std::string& organisation, double cost) {
  order_.charge(priority, organisation, cost);
  const auto found = flows_.find({fair_order::in_range(priority), organisation});
  if (found == flows_.end())
    return;
  for (const lane in : {in_time, late}) {
    unlist(found->second, in);
    list(found->second, in);
  }
}

const waiting_asks::flow_key* waiting_asks::first_flow(int priority, lane in) {
  flow_list& among = lists_[in][static_cast<std::size_t>(priority)];
  // The order's time moves on, so that flows that were ahead of the others no longer are.
  while (!among.ahead.empty() &&
         std::get<double>(*among.ahead.begin()) <= order_.virtual_time(priority)) {
    flow& each = *std::get<flow*>(*among.ahead.begin());
    unlist(each, in);
    list(each, in);
  }
  if (!among.ready.empty())
    return &*among.ready.begin();
  return among.ahead.empty() ? nullptr : &*among.ahead.begin();
}

std::uint64_t waiting_asks::first() {
  move_overdue();
  for (const lane in : {in_time, late}) {
    const flow_key* best = nullptr;
    std::optional<fair_order::position> lowest;
    for (int priority = 0; priority <= fair_order::max_priority; ++priority) {
      const flow_key* const each = first_flow(priority, in);
      if (!each)
        continue;
      const auto position = order_.next(priority, std::get<flow*>(*each)->organisation);
      if (lowest && !(position.class_start < lowest->class_start))
        continue;
      best = each;
      lowest = position;
    }
    if (best)
      return std::get<ask_key>(*best).second;
  }
  return 0;
}

void waiting_asks::move_overdue() {
  const auto now = time_.now();
  while (!in_time_asks_.empty() && in_time_asks_.begin()->first <= now) {
    const std::uint64_t number = in_time_asks_.begin()->second;
    entry& each = asks_.at(number);
    erase(number, each);
    each.in = late;
    insert(number, each);
  }
}

void waiting_asks::count_in_time(const flow& owner, int change) {
  auto& counts = in_time_counts_[owner.organisation];
  for (auto priority = static_cast<std::size_t>(owner.priority); priority < priorities;
       ++priority) {
    std::vector<std::size_t>& with = organisations_with_[priority];
    std::size_t& count = counts[priority];
    if (change > 0) {
      if (++count > with.size())
        with.push_back(0);
      ++with[count - 1];
    } else {
      --with[--count];
    }
  }
  if (counts.back() == 0)
    in_time_counts_.erase(owner.organisation);
}

std::size_t waiting_asks::ahead_of(int priority, const std::string& organisation) {
  move_overdue();
  const auto index = static_cast<std::size_t>(fair_order::in_range(priority));
  const auto found = in_time_counts_.find(organisation);
  const std::size_t own = found == in_time_counts_.end() ? 0 : found->second[index];
  // Of each other organisation, at most one more than this one has waiting.
  const std::vector<std::size_t>& with = organisations_with_[index];
  const auto end = with.begin() + static_cast<std::ptrdiff_t>(std::min(own + 1, with.size()));
  return std::accumulate(with.begin(), end, std::size_t{0});
}

std::size_t waiting_asks::overdue() {
  move_overdue();
  return asks_.size() - in_time_asks_.size();
}

} // namespace camphorlug::scheduling
