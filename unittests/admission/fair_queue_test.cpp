#include "camphorlug/admission/fair_queue.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t slots = 20;
/// Mean service time; actual times are uniform between 0.5 and 1.5 times this.
constexpr auto service_time = 200ms;
/// Requests per second that the slots can serve.
constexpr double capacity = slots / 0.2;
constexpr auto run_time = 60s;
constexpr auto request_timeout = 2s;

/// A source of requests and the outcomes of its requests.
struct traffic_source {
  std::string organisation;
  std::string class_name;
  double rate = 0;
  bool obeys_retry_after = false;
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused_after_waiting = 0;
  std::size_t retried = 0;
  std::size_t served_on_retry = 0;
  std::vector<double> waits = {};

  double wait_quantile(double fraction) {
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? 0 : waits[static_cast<std::size_t>(fraction * (waits.size() - 1))];
  }
};

/// A fair queue in front of targets with a fixed number of slots.
struct queue_fixture {
  queue_fixture()
      : clock(context), random(7), queue(clock, random, [this] { return slots - used; }) {
    documents::service_document document;
    document.queue_limit = 200;
    document.classes = {{"urgent", 8, 5, 2s}, {"standard", 2, 0, 2s}, {"bulk", 1, -5, 2s}};
    for (const char* name : {"greedy", "modest", "small"})
      document.organisations.push_back({name, {}, 1, 0, "standard"});
    queue.configure(document);
  }

  ~queue_fixture() { clock.shut_down(); }

  support::task<bool> send(traffic_source& source, std::uint64_t fingerprint,
                           std::chrono::seconds& retry_after) {
    admission::admission_request request{source.class_name, source.organisation, 16,
                                         clock.now() + request_timeout, fingerprint};
    const auto began = clock.now();
    const admission::admission_result result = co_await queue.enter(request);
    if (!result.granted) {
      source.refused_after_waiting += clock.now() - began > 10ms ? 1 : 0;
      retry_after = result.retry_after;
      co_return false;
    }
    ++used;
    source.waits.push_back(std::chrono::duration<double>(clock.now() - began).count());
    co_await clock.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
        service_time * (0.5 + random.uniform_real())));
    --used;
    queue.finish(request, 16);
    co_return true;
  }

  support::task<> run_client(traffic_source& source, std::uint64_t fingerprint) {
    std::chrono::seconds retry_after{0};
    ++source.sent;
    const bool served = co_await send(source, fingerprint, retry_after);
    source.served += served ? 1 : 0;
    if (served || !source.obeys_retry_after)
      co_return;
    co_await clock.sleep_for(retry_after);
    if (clock.now() > support::clock::time_point(run_time))
      co_return;
    ++source.retried;
    const bool retry_served = co_await send(source, fingerprint, retry_after);
    source.served_on_retry += retry_served ? 1 : 0;
    source.served += retry_served ? 1 : 0;
  }

  support::task<> generate_arrivals(traffic_source& source) {
    std::exponential_distribution<double> gap(source.rate);
    while (clock.now() < support::clock::time_point(run_time)) {
      co_await clock.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(gap(random.engine()))));
      support::spawn(context.get_executor(), "call", run_client(source, random.engine()()));
    }
  }

  void run(std::vector<traffic_source>& sources) {
    for (traffic_source& source : sources)
      support::spawn(context.get_executor(), "arrive", generate_arrivals(source));
    clock.run_for(run_time + 5s);
  }

  asio::io_context context;
  support::virtual_clock clock;
  support::random_source random;
  std::size_t used = 0;
  admission::fair_queue queue;
};

std::size_t goodput(double load) {
  queue_fixture fixture;
  std::vector<traffic_source> sources{{"greedy", "standard", 0.8 * load * capacity},
                                      {"modest", "standard", 0.2 * load * capacity}};
  fixture.run(sources);
  return sources[0].served + sources[1].served;
}

} // namespace

BOOST_DATA_TEST_CASE(goodput_does_not_fall_under_overload, data::make({1.5, 3.0}), load) {
  BOOST_TEST(static_cast<double>(goodput(load)) >= 0.9 * static_cast<double>(goodput(1.0)));
}

BOOST_DATA_TEST_CASE(low_rate_organisations_keep_their_share, data::make({1.0, 1.5, 3.0}), load) {
  queue_fixture fixture;
  // A sixth of the capacity, half of an organisation's fair share of a third.
  const double modest_rate = capacity / 6;
  std::vector<traffic_source> sources{{"greedy", "standard", load * capacity - 2 * modest_rate},
                                      {"modest", "standard", modest_rate},
                                      {"small", "standard", modest_rate}};
  fixture.run(sources);
  BOOST_TEST(static_cast<double>(sources[1].served) >= 0.95 * sources[1].sent);
  BOOST_TEST(static_cast<double>(sources[2].served) >= 0.95 * sources[2].sent);
}

BOOST_AUTO_TEST_CASE(overloading_organisation_hardly_delays_low_rate_one) {
  std::vector<traffic_source> alone{{"modest", "standard", 0.3 * capacity}};
  queue_fixture quiet;
  quiet.run(alone);
  std::vector<traffic_source> crowded{{"modest", "standard", 0.3 * capacity},
                                      {"greedy", "standard", 3 * capacity}};
  queue_fixture busy;
  busy.run(crowded);
  const double service = std::chrono::duration<double>(service_time).count();
  BOOST_TEST(crowded[0].wait_quantile(0.95) + service <=
             1.5 * (alone[0].wait_quantile(0.95) + service));
}

BOOST_AUTO_TEST_CASE(urgent_class_has_low_latency_and_no_class_starves) {
  queue_fixture fixture;
  std::vector<traffic_source> sources{{"greedy", "bulk", 2 * capacity},
                                      {"modest", "standard", 0.8 * capacity},
                                      {"small", "urgent", 0.2 * capacity}};
  fixture.run(sources);
  const double service = std::chrono::duration<double>(service_time).count();
  BOOST_TEST(sources[2].wait_quantile(0.95) + service <= 1.2 * service);
  // 60 seconds of the share of weight 1 among the weights 8, 2 and 1.
  const double bulk_floor = capacity * 60 / 11;
  BOOST_TEST(static_cast<double>(sources[0].served) >= 0.9 * bulk_floor);
  BOOST_TEST(sources[1].served > 0);
}

BOOST_AUTO_TEST_CASE(refusals_are_immediate) {
  queue_fixture fixture;
  std::vector<traffic_source> sources{{"greedy", "standard", 3 * capacity}};
  fixture.run(sources);
  const std::size_t refused = sources[0].sent - sources[0].served;
  BOOST_TEST(refused > 0);
  BOOST_TEST(static_cast<double>(sources[0].refused_after_waiting) <= 0.01 * refused);
}

BOOST_DATA_TEST_CASE(callers_obeying_retry_after_are_admitted_on_first_retry,
                     data::make({1.5, 3.0}), load) {
  queue_fixture fixture;
  std::vector<traffic_source> sources{{"modest", "standard", load * capacity, true}};
  fixture.run(sources);
  BOOST_TEST(sources[0].retried > 0);
  BOOST_TEST(static_cast<double>(sources[0].served_on_retry) >= 0.95 * sources[0].retried);
}
