#include "load_generator.h"

#include <nlohmann/json.hpp>

namespace camphorlug::load {

static constexpr std::chrono::milliseconds completion_poll_interval{20};

load_generator::load_generator(asio::any_io_executor executor, net::http_client& client,
                               support::clock& time, load_plan plan)
    : executor_(std::move(executor)), client_(client), time_(time), plan_(std::move(plan)),
      random_(plan_.seed), entries_(client, time, plan_.entries, "") {}

support::task<> load_generator::run() {
  for (const caller_plan& plan : plan_.callers) {
    ++in_progress_;
    support::spawn(executor_, "arrivals", send_arrivals(plan));
  }
  while (in_progress_ > 0)
    co_await time_.sleep_for(completion_poll_interval);
}

support::task<> load_generator::send_arrivals(caller_plan plan) {
  const double per_second = static_cast<double>(plan.rate_per_minute) / 60;
  std::exponential_distribution<double> gap(per_second);
  const auto end = time_.now() + plan_.duration;
  auto next = time_.now();
  for (;;) {
    next += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gap(random_.engine())));
    if (next >= end)
      break;
    if (next > time_.now())
      co_await time_.sleep_for(next - time_.now());
    ++in_progress_;
    support::spawn(executor_, "caller", send_one(plan, make_request(plan)));
  }
  --in_progress_;
}

caller::caller_request load_generator::make_request(const caller_plan& plan) {
  caller::caller_request request;
  request.target = "/services/" + plan_.service + plan.path;
  request.key = plan.key;
  request.class_name = plan.class_name;
  if (plan.tokens == 0) {
    request.method = "GET";
    return request;
  }
  request.stream = true;
  std::string preamble = random_.identifier();
  if (plan.preambles > 0)
    preamble = "preamble " + std::to_string(random_.below(plan.preambles));
  std::string shared;
  while (shared.size() < static_cast<std::size_t>(plan.prompt_characters))
    shared += preamble + " ";
  const nlohmann::json body{{"stream", true},
                            {"max_tokens", plan.tokens},
                            {"messages",
                             {{{"role", "system"}, {"content", shared}},
                              {{"role", "user"}, {"content", random_.identifier()}}}}};
  request.body = body.dump();
  return request;
}

support::task<> load_generator::send_one(caller_plan plan, caller::caller_request request) {
  const report_key result_key{plan.organisation, plan.class_name};
  caller::reference_caller caller(client_, time_, entries_);
  const caller::caller_result result = co_await caller.send(request);
  report_.record(result_key, result);
  if (!result.complete && plan.obeys_retry_after && result.retry_after.count() > 0) {
    co_await time_.sleep_for(result.retry_after);
    const caller::caller_result second = co_await caller.send(std::move(request));
    report_.record_retry(result_key, second);
  }
  --in_progress_;
}

} // namespace camphorlug::load
