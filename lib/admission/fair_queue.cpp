#include "camphorlug/admission/fair_queue.h"

#include <algorithm>

namespace camphorlug::admission {

fair_queue::fair_queue(support::clock& time, support::random_source& random,
                       std::function<std::size_t()> free_slots)
    : time_(time), random_(random), free_slots_(std::move(free_slots)) {}

void fair_queue::configure(const documents::service_document& document) {
  queue_limit_ = document.queue_limit;
  for (const documents::request_class& each : document.classes)
    classes_[each.name].weight = each.weight;
  for (const documents::organisation& each : document.organisations) {
    organisation_weights_[each.name] = each.weight;
    in_flight_limits_[each.name] = each.max_in_flight;
    for (auto& [name, queue] : classes_) {
      const auto held = queue.organisations.find(each.name);
      if (held != queue.organisations.end())
        held->second.weight = each.weight;
    }
  }
  pump();
}

fair_queue::organisation_queue& fair_queue::queue_of(const admission_request& request) {
  class_queue& level = classes_[request.class_name];
  organisation_queue& queue = level.organisations[request.organisation];
  if (queue.organisation.empty()) {
    queue.organisation = request.organisation;
    const auto weight = organisation_weights_.find(request.organisation);
    queue.weight = weight == organisation_weights_.end() ? 1 : weight->second;
  }
  return queue;
}

bool fair_queue::may_start(const organisation_queue& queue) const {
  const auto limit = in_flight_limits_.find(queue.organisation);
  if (limit == in_flight_limits_.end() || limit->second == 0)
    return true;
  const auto running = in_flight_.find(queue.organisation);
  return running == in_flight_.end() || running->second < limit->second;
}

/// Charges a request that starts to its class and its organisation.
void fair_queue::start(const admission_request& request) {
  class_queue& level = classes_[request.class_name];
  organisation_queue& queue = queue_of(request);
  // Who was idle starts from the present and cannot save up its share.
  level.served = std::max(level.served, class_time_);
  class_time_ = level.served;
  level.served += request.cost / level.weight;
  queue.served = std::max(queue.served, level.now);
  level.now = queue.served;
  queue.served += request.cost / queue.weight;
  ++in_flight_[request.organisation];
}

/// Part of the service's capacity that falls to the request's organisation now.
double fair_queue::share_of(const admission_request& request) const {
  double class_weights = 0;
  for (const auto& [name, level] : classes_) {
    if (level.waiting > 0 || name == request.class_name)
      class_weights += level.weight;
  }
  const class_queue& level = classes_.at(request.class_name);
  double own = 1;
  double weights = 0;
  for (const auto& [name, queue] : level.organisations) {
    if (name == request.organisation)
      own = queue.weight;
    if (name == request.organisation || !queue.waiters.empty())
      weights += queue.weight;
  }
  return level.weight / class_weights * own / std::max(weights, own);
}

admission_result fair_queue::refuse(const admission_request& request, std::string reason) {
  const double rate = std::max(0.01, drained_.per_second() * share_of(request));
  admission_result result;
  result.reason = std::move(reason);
  result.retry_after = bookings_.book(request.organisation, request.fingerprint, rate,
                                      random_.uniform_real(), time_.now());
  return result;
}

/// Makes room in a full queue: the newest waiter of the organisation that has
/// the most for its weight goes, unless that is the newcomer's own.
bool fair_queue::crowd_out(const admission_request& newcomer) {
  organisation_queue* largest = nullptr;
  double most = 0;
  for (auto& [class_name, level] : classes_) {
    for (auto& [name, queue] : level.organisations) {
      const double size = static_cast<double>(queue.waiters.size()) / queue.weight;
      if (size > most) {
        most = size;
        largest = &queue;
      }
    }
  }
  const organisation_queue& own = queue_of(newcomer);
  const double own_size = static_cast<double>(own.waiters.size() + 1) / own.weight;
  if (!largest || largest == &own || own_size >= most)
    return false;
  const std::shared_ptr<waiter> last = largest->waiters.back();
  last->crowded_out = true;
  remove(last);
  last->decided.notify();
  return true;
}

void fair_queue::remove(const std::shared_ptr<waiter>& leaving) {
  auto& waiters = queue_of(leaving->request).waiters;
  const auto place = std::find(waiters.begin(), waiters.end(), leaving);
  if (place == waiters.end())
    return;
  waiters.erase(place);
  --classes_[leaving->request.class_name].waiting;
  --waiting_;
}

support::task<admission_result> fair_queue::enter(admission_request request) {
  const auto began = time_.now();
  const bool comes_back = bookings_.redeem(request.fingerprint, began);
  organisation_queue& queue = queue_of(request);
  if (waiting_ == 0 && free_slots_() > resuming_ && may_start(queue)) {
    start(request);
    co_return admission_result{true, {}, {}, {}};
  }
  const std::chrono::duration<double> patience = request.deadline - began;
  const double rate = drained_.per_second() * share_of(request);
  // Those who were told to come back meanwhile go before a new request.
  const std::size_t ahead =
      queue.waiters.size() +
      bookings_.due_within(request.organisation, request.deadline - began, began);
  const double expected = static_cast<double>(ahead + 1) / std::max(rate, 0.01);
  if (!comes_back && expected > patience.count())
    co_return refuse(request, "its turn would come after its deadline");
  if (!comes_back && waiting_ >= queue_limit_ && !crowd_out(request))
    co_return refuse(request, "the queue is full");
  auto self = std::make_shared<waiter>(waiter{request, support::notification(time_)});
  if (comes_back)
    queue.waiters.push_front(self);
  else
    queue.waiters.push_back(self);
  ++classes_[request.class_name].waiting;
  ++waiting_;
  pump();
  co_await self->decided.wait_for(request.deadline - began);
  if (self->granted) {
    --resuming_;
    co_return admission_result{true, {}, {}, time_.now() - began};
  }
  remove(self);
  co_return refuse(request, self->crowded_out ? "the queue is full of more urgent requests"
                                              : "its deadline passed in the queue");
}

std::shared_ptr<fair_queue::waiter> fair_queue::next() {
  class_queue* level = nullptr;
  organisation_queue* queue = nullptr;
  for (auto& [class_name, each] : classes_) {
    const double class_due = std::max(each.served, class_time_);
    if (each.waiting == 0 || (level && class_due >= std::max(level->served, class_time_)))
      continue;
    organisation_queue* best = nullptr;
    for (auto& [name, candidate] : each.organisations) {
      if (candidate.waiters.empty() || !may_start(candidate))
        continue;
      if (!best || std::max(candidate.served, each.now) < std::max(best->served, each.now))
        best = &candidate;
    }
    if (!best)
      continue;
    level = &each;
    queue = best;
  }
  return queue ? queue->waiters.front() : nullptr;
}

void fair_queue::pump() {
  const std::size_t slots = waiting_ == 0 ? 0 : free_slots_();
  while (slots > resuming_) {
    const std::shared_ptr<waiter> chosen = next();
    if (!chosen)
      return;
    remove(chosen);
    start(chosen->request);
    chosen->granted = true;
    ++resuming_;
    chosen->decided.notify();
  }
}

void fair_queue::finish(const admission_request& request, double actual_cost) {
  class_queue& level = classes_[request.class_name];
  organisation_queue& queue = queue_of(request);
  level.served += (actual_cost - request.cost) / level.weight;
  queue.served += (actual_cost - request.cost) / queue.weight;
  auto& running = in_flight_[request.organisation];
  if (running > 0)
    --running;
  drained_.record(time_.now(), waiting_ > 0);
  pump();
}

} // namespace camphorlug::admission
