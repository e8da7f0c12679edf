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
      const auto existing = queue.organisations.find(each.name);
      if (existing != queue.organisations.end())
        existing->second.weight = each.weight;
    }
  }
  dispatch_waiting();
}

fair_queue::organisation_queue& fair_queue::queue_of(const admission_request& request) {
  class_queue& class_state = classes_[request.class_name];
  organisation_queue& queue = class_state.organisations[request.organisation];
  if (queue.organisation.empty()) {
    queue.organisation = request.organisation;
    const auto weight = organisation_weights_.find(request.organisation);
    queue.weight = weight == organisation_weights_.end() ? 1 : weight->second;
  }
  return queue;
}

bool fair_queue::is_below_in_flight_limit(const organisation_queue& queue) const {
  const auto limit = in_flight_limits_.find(queue.organisation);
  if (limit == in_flight_limits_.end() || limit->second == 0)
    return true;
  const auto running = in_flight_.find(queue.organisation);
  return running == in_flight_.end() || running->second < limit->second;
}

/// Charges the cost of a starting request to its class and its organisation.
void fair_queue::record_start(const admission_request& request) {
  class_queue& class_state = classes_[request.class_name];
  organisation_queue& queue = queue_of(request);
  // A queue that was idle starts at the current virtual time, so that it cannot
  // accumulate credit.
  class_state.virtual_finish = std::max(class_state.virtual_finish, class_virtual_time_);
  class_virtual_time_ = class_state.virtual_finish;
  class_state.virtual_finish += request.cost / class_state.weight;
  queue.virtual_finish = std::max(queue.virtual_finish, class_state.virtual_time);
  class_state.virtual_time = queue.virtual_finish;
  queue.virtual_finish += request.cost / queue.weight;
  ++in_flight_[request.organisation];
}

/// Fraction of the service's capacity to which the request's organisation is
/// entitled now.
double fair_queue::capacity_share_of(const admission_request& request) const {
  double class_weights = 0;
  for (const auto& [name, class_state] : classes_) {
    if (class_state.waiting > 0 || name == request.class_name)
      class_weights += class_state.weight;
  }
  const class_queue& class_state = classes_.at(request.class_name);
  double own = 1;
  double weights = 0;
  for (const auto& [name, queue] : class_state.organisations) {
    if (name == request.organisation)
      own = queue.weight;
    if (name == request.organisation || !queue.waiters.empty())
      weights += queue.weight;
  }
  return class_state.weight / class_weights * own / std::max(weights, own);
}

admission_result fair_queue::refuse(const admission_request& request, std::string reason) {
  // At least 0.01 requests per second, which keeps the wait finite.
  const double rate = std::max(0.01, drain_rate_.per_second() * capacity_share_of(request));
  admission_result result;
  result.reason = std::move(reason);
  result.retry_after = reservations_.reserve(request.organisation, request.fingerprint, rate,
                                             random_.uniform_real(), time_.now());
  return result;
}

/// Makes room in a full queue by evicting the newest waiter of the queue (one
/// organisation within one class) with the most waiters per weight. Returns false
/// if the queue of `arrival`, counting `arrival`, has at least as many.
bool fair_queue::evict_for(const admission_request& arrival) {
  organisation_queue* largest = nullptr;
  double most = 0;
  for (auto& [class_name, class_state] : classes_) {
    for (auto& [name, queue] : class_state.organisations) {
      const double size = static_cast<double>(queue.waiters.size()) / queue.weight;
      if (size > most) {
        most = size;
        largest = &queue;
      }
    }
  }
  const organisation_queue& own = queue_of(arrival);
  const double own_size = static_cast<double>(own.waiters.size() + 1) / own.weight;
  if (!largest || largest == &own || own_size >= most)
    return false;
  const std::shared_ptr<waiter> last = largest->waiters.back();
  last->evicted_by_arrival = true;
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
  const bool is_expected_retry = reservations_.consume_if_due(request.fingerprint, began);
  organisation_queue& queue = queue_of(request);
  if (waiting_ == 0 && free_slots_() > granted_not_started_ && is_below_in_flight_limit(queue)) {
    record_start(request);
    co_return admission_result{true, {}, {}, {}};
  }
  const std::chrono::duration<double> time_left = request.deadline - began;
  const double rate = drain_rate_.per_second() * capacity_share_of(request);
  // Retries that are due before the deadline have precedence over a new request.
  const std::size_t ahead =
      queue.waiters.size() +
      reservations_.due_within(request.organisation, request.deadline - began, began);
  // At least 0.01 requests per second, which keeps the wait finite.
  const double expected_wait = static_cast<double>(ahead + 1) / std::max(rate, 0.01);
  if (!is_expected_retry && expected_wait > time_left.count())
    co_return refuse(request, "its turn would come after its deadline");
  if (!is_expected_retry && waiting_ >= queue_limit_ && !evict_for(request))
    co_return refuse(request, "the queue is full");
  auto self = std::make_shared<waiter>(waiter{request, support::notification(time_)});
  if (is_expected_retry)
    queue.waiters.push_front(self);
  else
    queue.waiters.push_back(self);
  ++classes_[request.class_name].waiting;
  ++waiting_;
  dispatch_waiting();
  co_await self->decided.wait_for(request.deadline - began);
  if (self->granted) {
    --granted_not_started_;
    co_return admission_result{true, {}, {}, time_.now() - began};
  }
  remove(self);
  co_return refuse(request, self->evicted_by_arrival ? "the queue is full of more urgent requests"
                                                     : "its deadline passed in the queue");
}

std::shared_ptr<fair_queue::waiter> fair_queue::select_next() {
  class_queue* chosen_class = nullptr;
  organisation_queue* queue = nullptr;
  for (auto& [class_name, class_state] : classes_) {
    const double class_start_tag = std::max(class_state.virtual_finish, class_virtual_time_);
    if (class_state.waiting == 0 ||
        (chosen_class &&
         class_start_tag >= std::max(chosen_class->virtual_finish, class_virtual_time_)))
      continue;
    organisation_queue* best = nullptr;
    for (auto& [name, candidate] : class_state.organisations) {
      if (candidate.waiters.empty() || !is_below_in_flight_limit(candidate))
        continue;
      if (!best || std::max(candidate.virtual_finish, class_state.virtual_time) <
                       std::max(best->virtual_finish, class_state.virtual_time))
        best = &candidate;
    }
    if (!best)
      continue;
    chosen_class = &class_state;
    queue = best;
  }
  return queue ? queue->waiters.front() : nullptr;
}

void fair_queue::dispatch_waiting() {
  const std::size_t slots = waiting_ == 0 ? 0 : free_slots_();
  while (slots > granted_not_started_) {
    const std::shared_ptr<waiter> chosen = select_next();
    if (!chosen)
      return;
    remove(chosen);
    record_start(chosen->request);
    chosen->granted = true;
    ++granted_not_started_;
    chosen->decided.notify();
  }
}

void fair_queue::finish(const admission_request& request, double actual_cost) {
  class_queue& class_state = classes_[request.class_name];
  organisation_queue& queue = queue_of(request);
  class_state.virtual_finish += (actual_cost - request.cost) / class_state.weight;
  queue.virtual_finish += (actual_cost - request.cost) / queue.weight;
  auto& running = in_flight_[request.organisation];
  if (running > 0)
    --running;
  drain_rate_.record(time_.now(), waiting_ > 0);
  dispatch_waiting();
}

} // namespace camphorlug::admission
