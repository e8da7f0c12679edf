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
/// Service takes from half to one and a half of this, evenly spread.
constexpr auto service_time = 200ms;
/// Requests a second that the slots can serve.
constexpr double capacity = slots / 0.2;
constexpr auto run_time = 60s;
constexpr auto patience = 2s;

/// One stream of callers and what became of them.
struct caller_stream {
  std::string organisation;
  std::string class_name;
  double rate = 0;
  bool obeys = false;
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused_late = 0;
  std::size_t returned = 0;
  std::size_t served_on_return = 0;
  std::vector<double> waits = {};

  double wait_at(double part) {
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? 0 : waits[static_cast<std::size_t>(part * (waits.size() - 1))];
  }
};

/// A queue before targets with a fixed number of slots.
struct queue_world {
  queue_world() : clock(context), random(7), queue(clock, random, [this] { return slots - used; }) {
    documents::service_document document;
    document.queue_limit = 200;
    document.classes = {{"urgent", 8, 5, 2s}, {"standard", 2, 0, 2s}, {"bulk", 1, -5, 2s}};
    for (const char* name : {"greedy", "modest", "small"})
      document.organisations.push_back({name, {}, 1, 0, "standard"});
    queue.configure(document);
  }

  ~queue_world() { clock.shut_down(); }

  support::task<bool> send(caller_stream& stream, std::uint64_t fingerprint,
                           std::chrono::seconds& retry_after) {
    admission::admission_request request{stream.class_name, stream.organisation, 16,
                                         clock.now() + patience, fingerprint};
    const auto began = clock.now();
    const admission::admission_result result = co_await queue.enter(request);
    if (!result.granted) {
      stream.refused_late += clock.now() - began > 10ms ? 1 : 0;
      retry_after = result.retry_after;
      co_return false;
    }
    ++used;
    stream.waits.push_back(std::chrono::duration<double>(clock.now() - began).count());
    co_await clock.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
        service_time * (0.5 + random.uniform_real())));
    --used;
    queue.finish(request, 16);
    co_return true;
  }

  support::task<> call(caller_stream& stream, std::uint64_t fingerprint) {
    std::chrono::seconds retry_after{0};
    ++stream.sent;
    const bool served = co_await send(stream, fingerprint, retry_after);
    stream.served += served ? 1 : 0;
    if (served || !stream.obeys)
      co_return;
    co_await clock.sleep_for(retry_after);
    if (clock.now() > support::clock::time_point(run_time))
      co_return;
    ++stream.returned;
    const bool served_later = co_await send(stream, fingerprint, retry_after);
    stream.served_on_return += served_later ? 1 : 0;
    stream.served += served_later ? 1 : 0;
  }

  support::task<> arrive(caller_stream& stream) {
    std::exponential_distribution<double> gap(stream.rate);
    while (clock.now() < support::clock::time_point(run_time)) {
      co_await clock.sleep_for(std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(gap(random.engine()))));
      support::spawn(context.get_executor(), "call", call(stream, random.engine()()));
    }
  }

  void run(std::vector<caller_stream>& streams) {
    for (caller_stream& stream : streams)
      support::spawn(context.get_executor(), "arrive", arrive(stream));
    clock.run_for(run_time + 5s);
  }

  asio::io_context context;
  support::virtual_clock clock;
  support::random_source random;
  std::size_t used = 0;
  admission::fair_queue queue;
};

std::size_t goodput(double load) {
  queue_world world;
  std::vector<caller_stream> streams{{"greedy", "standard", 0.8 * load * capacity},
                                     {"modest", "standard", 0.2 * load * capacity}};
  world.run(streams);
  return streams[0].served + streams[1].served;
}

} // namespace

BOOST_DATA_TEST_CASE(goodput_does_not_fall_under_overload, data::make({1.5, 3.0}), load) {
  BOOST_TEST(static_cast<double>(goodput(load)) >= 0.9 * static_cast<double>(goodput(1.0)));
}

BOOST_DATA_TEST_CASE(modest_organisation_keeps_its_share, data::make({1.0, 1.5, 3.0}), load) {
  queue_world world;
  // Half of a third of the capacity is less than the fair share of each.
  const double modest_rate = capacity / 6;
  std::vector<caller_stream> streams{{"greedy", "standard", load * capacity - 2 * modest_rate},
                                     {"modest", "standard", modest_rate},
                                     {"small", "standard", modest_rate}};
  world.run(streams);
  BOOST_TEST(static_cast<double>(streams[1].served) >= 0.95 * streams[1].sent);
  BOOST_TEST(static_cast<double>(streams[2].served) >= 0.95 * streams[2].sent);
}

BOOST_AUTO_TEST_CASE(greedy_organisation_hardly_delays_the_modest) {
  std::vector<caller_stream> alone{{"modest", "standard", 0.3 * capacity}};
  queue_world quiet;
  quiet.run(alone);
  std::vector<caller_stream> crowded{{"modest", "standard", 0.3 * capacity},
                                     {"greedy", "standard", 3 * capacity}};
  queue_world busy;
  busy.run(crowded);
  const double service = std::chrono::duration<double>(service_time).count();
  BOOST_TEST(crowded[0].wait_at(0.95) + service <= 1.5 * (alone[0].wait_at(0.95) + service));
}

BOOST_AUTO_TEST_CASE(urgent_class_waits_little_and_none_starves) {
  queue_world world;
  std::vector<caller_stream> streams{{"greedy", "bulk", 2 * capacity},
                                     {"modest", "standard", 0.8 * capacity},
                                     {"small", "urgent", 0.2 * capacity}};
  world.run(streams);
  const double service = std::chrono::duration<double>(service_time).count();
  BOOST_TEST(streams[2].wait_at(0.95) + service <= 1.2 * service);
  const double bulk_floor = capacity * 60 / 11;
  BOOST_TEST(static_cast<double>(streams[0].served) >= 0.9 * bulk_floor);
  BOOST_TEST(streams[1].served > 0);
}

BOOST_AUTO_TEST_CASE(refusals_come_at_once) {
  queue_world world;
  std::vector<caller_stream> streams{{"greedy", "standard", 3 * capacity}};
  world.run(streams);
  const std::size_t refused = streams[0].sent - streams[0].served;
  BOOST_TEST(refused > 0);
  BOOST_TEST(static_cast<double>(streams[0].refused_late) <= 0.01 * refused);
}

BOOST_DATA_TEST_CASE(obeying_callers_get_in_at_their_first_return, data::make({1.5, 3.0}), load) {
  queue_world world;
  std::vector<caller_stream> streams{{"modest", "standard", load * capacity, true}};
  world.run(streams);
  BOOST_TEST(streams[0].returned > 0);
  BOOST_TEST(static_cast<double>(streams[0].served_on_return) >= 0.95 * streams[0].returned);
}
