#include "fakes/gateway_fixture.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Load pattern: a target answers much later than others, but not late enough to count as silent.

using namespace camphorlug;
using namespace camphorlug::fakes;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto usual = 20ms;
constexpr auto slow = 500ms;
constexpr int training = 150;

scripted_answer answer_after(const std::string& path, std::chrono::milliseconds delay) {
  const bool is_stream = path == "/stream/" || path == "/cut/";
  scripted_answer script = is_stream ? events(1, 3) : complete_answer();
  script.delay = delay;
  script.pause = 1ms;
  return script;
}

std::string whole_answer(const std::string& path) {
  std::string text;
  for (const std::string& piece : answer_after(path, 0ms).pieces)
    text += piece;
  return text;
}

/// A gateway with second tries that knows the usual time of the target `one` on a route.
struct trained_gateway : gateway_fixture {
  explicit trained_gateway(const std::string& path, double share = 0.05, int calls = training) {
    second_tries = gateway::second_try_policy({share, 0.95, 0.2});
    add_target("one", 4);
    for (int i = 0; i < calls; ++i) {
      answer("one", answer_after(path, usual));
      call(path + "x");
    }
    client.received.clear();
  }

  bool metrics_contain(const std::string& event) {
    return metrics.serialize({}).find("second_tries_total{event=\"" + event + "\"} 1") !=
           std::string::npos;
  }
};

struct route_case {
  const char* path;
  bool is_repeatable;
};

std::ostream& operator<<(std::ostream& out, const route_case& each) {
  return out << each.path;
}

const route_case routes[] = {{"/plain/", true},
                             {"/stream/", true},
                             {"/once/", false},
                             {"/cut/", false},
                             {"/single/", false}};

} // namespace

BOOST_DATA_TEST_CASE(only_repeatable_requests_get_a_second_try, data::make(routes), each) {
  trained_gateway world(each.path);
  world.answer("one", answer_after(each.path, slow));
  recording_writer writer;
  world.begin(std::string(each.path) + "x", writer);
  world.add_target("two", 4);
  world.answer("two", answer_after(each.path, usual));
  world.clock.run_for(200ms);
  BOOST_TEST(world.client.received.size() == (each.is_repeatable ? 2 : 1));
  BOOST_TEST(world.metrics_contain("won") == each.is_repeatable);
  // The slow target learns at once that nobody waits, and is not suspected.
  BOOST_TEST(world.client.aborted_exchanges == (each.is_repeatable ? 1 : 0));
  BOOST_TEST(world.loads.in_flight("one") == (each.is_repeatable ? 0 : 1));
  BOOST_TEST(!world.suspicions.suspected("one"));
  world.clock.run_for(1s);
  BOOST_TEST(world.unfinished == 0);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == whole_answer(each.path));
}

BOOST_AUTO_TEST_CASE(first_target_is_kept_if_it_answers_before_the_second) {
  trained_gateway world("/stream/");
  world.answer("one", answer_after("/stream/", 200ms));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two", 4);
  world.answer("two", answer_after("/stream/", slow));
  world.clock.run_for(300ms);
  BOOST_TEST(writer.finished);
  BOOST_TEST(writer.body == whole_answer("/stream/"));
  BOOST_TEST(world.client.received.size() == 2);
  BOOST_TEST(world.client.aborted_exchanges == 1);
  BOOST_TEST(world.loads.in_flight("two") == 0);
  BOOST_TEST(world.metrics_contain("lost"));
}

BOOST_AUTO_TEST_CASE(request_is_answered_by_the_slow_target_if_the_second_refuses) {
  trained_gateway world("/stream/");
  world.answer("one", answer_after("/stream/", slow));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two", 4);
  world.answer("two", refusal());
  world.clock.run_for(1s);
  BOOST_TEST(writer.body == whole_answer("/stream/"));
  BOOST_TEST(world.client.received.size() == 2);
}

BOOST_AUTO_TEST_CASE(both_attempts_are_closed_when_the_caller_disconnects) {
  trained_gateway world("/stream/");
  world.answer("one", answer_after("/stream/", slow));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two", 4);
  world.answer("two", answer_after("/stream/", slow));
  world.clock.run_for(200ms);
  BOOST_TEST(world.client.received.size() == 2);
  writer.disconnect();
  world.clock.run_for(10ms);
  BOOST_TEST(world.client.aborted_exchanges == 2);
  BOOST_TEST(world.loads.in_flight("one") == 0);
  BOOST_TEST(world.loads.in_flight("two") == 0);
}

namespace {

struct obstacle {
  const char* name;
  void (*raise)(trained_gateway&);
};

std::ostream& operator<<(std::ostream& out, const obstacle& each) {
  return out << each.name;
}

const obstacle obstacles[] = {
    {"no other target", [](trained_gateway&) {}},
    {"no retry left",
     [](trained_gateway& world) {
       world.retries.change_limits({0, 10s, 0});
       world.add_target("two", 4);
     }},
    {"the other target is full",
     [](trained_gateway& world) {
       world.add_target("two", 1);
       world.loads.add("two");
     }},
    {"few slots are free",
     [](trained_gateway& world) {
       world.add_target("two", 40);
       for (int i = 0; i < 39; ++i)
         world.loads.add("two");
     }},
    {"the other target is suspected",
     [](trained_gateway& world) {
       world.add_target("two", 4);
       world.suspicions.suspect("two", "test");
     }},
    {"the other target is cold",
     [](trained_gateway& world) {
       gateway::target_entry entry = *world.registry.find("one");
       entry.id = entry.address = "two";
       entry.warm_up_remaining = 5s;
       world.registry.update("two", 100, entry);
     }},
    {"a data centre is evacuated",
     [](trained_gateway& world) {
       world.add_target("two", 4);
       world.evacuations.update("elsewhere", 1, true, 0ms);
     }},
    {"second tries are off",
     [](trained_gateway& world) {
       world.add_target("two", 4);
       world.second_tries = gateway::second_try_policy({});
     }},
};

} // namespace

BOOST_DATA_TEST_CASE(no_second_try_when_something_is_short, data::make(obstacles), each) {
  trained_gateway world("/stream/");
  world.answer("one", answer_after("/stream/", slow));
  recording_writer writer;
  world.begin("/stream/x", writer);
  each.raise(world);
  world.answer("two", answer_after("/stream/", usual));
  world.clock.run_for(1s);
  BOOST_TEST(world.client.received.size() == 1);
  BOOST_TEST(world.client.aborted_exchanges == 0);
  BOOST_TEST(writer.body == whole_answer("/stream/"));
}

BOOST_AUTO_TEST_CASE(no_second_try_while_too_little_is_known_after_a_restart) {
  trained_gateway world("/stream/", 0.05, gateway::first_part_times::min_samples - 1);
  world.answer("one", answer_after("/stream/", slow));
  recording_writer writer;
  world.begin("/stream/x", writer);
  world.add_target("two", 4);
  world.answer("two", answer_after("/stream/", usual));
  world.clock.run_for(1s);
  BOOST_TEST(world.client.received.size() == 1);
  BOOST_TEST(writer.body == whole_answer("/stream/"));
}

namespace {

constexpr int tail_targets = 40;
constexpr int tail_calls = 1000;

struct tail_result {
  std::size_t slow_answers = 0;
  std::size_t extra_requests = 0;
  std::size_t sent_to_slow_target = 0;
};

/// Calls one after the other; one of the targets answers slowly.
tail_result run_slow_tail(double share) {
  gateway_fixture world;
  world.second_tries = gateway::second_try_policy({share, 0.95, 0.2});
  for (int i = 0; i < tail_targets; ++i) {
    const std::string id = "t" + std::to_string(i);
    world.add_target(id, 4);
    for (int j = 0; j < tail_calls; ++j)
      world.answer(id, answer_after("/stream/", i == 0 ? slow : usual));
  }
  tail_result result;
  for (int i = 0; i < tail_calls; ++i) {
    const auto begun_at = world.clock.now();
    const auto writer = world.call("/stream/x");
    BOOST_REQUIRE(writer->finished);
    result.slow_answers += world.clock.now() - begun_at >= slow ? 1 : 0;
  }
  result.extra_requests = world.client.received.size() - tail_calls;
  for (const net::client_request& each : world.client.received)
    result.sent_to_slow_target += each.address == "t0" ? 1 : 0;
  return result;
}

} // namespace

BOOST_DATA_TEST_CASE(slow_tail_gets_shorter_within_the_limit, data::make({0.01, 0.02, 0.05}),
                     share) {
  const tail_result without = run_slow_tail(0);
  const tail_result with = run_slow_tail(share);
  BOOST_TEST_MESSAGE("slow without " << without.slow_answers << ", with " << with.slow_answers
                                     << ", extra " << with.extra_requests);
  BOOST_TEST(without.extra_requests == 0);
  BOOST_TEST(with.extra_requests > 0);
  BOOST_TEST(static_cast<double>(with.extra_requests) <= share * tail_calls + 1);
  BOOST_TEST(with.slow_answers < without.slow_answers);
  // The two runs draw different targets, so the effect is counted within one: each second try takes
  // one answer out of the tail, and at least half of the share is used where it is needed.
  BOOST_TEST(with.slow_answers + with.extra_requests == with.sent_to_slow_target);
  const double usable = std::min(share * tail_calls, static_cast<double>(with.sent_to_slow_target));
  BOOST_TEST(static_cast<double>(with.extra_requests) >= usable / 2);
}

// The times known are those of an idle fleet, for example just after a restart.
BOOST_AUTO_TEST_CASE(wrong_usual_time_causes_no_storm) {
  constexpr double share = 0.02;
  trained_gateway world("/stream/", share);
  world.add_target("two", 4);
  constexpr int calls = 200;
  for (int i = 0; i < 2 * calls; ++i) {
    world.answer("one", answer_after("/stream/", slow));
    world.answer("two", answer_after("/stream/", slow));
  }
  for (int i = 0; i < calls; ++i)
    world.call("/stream/x");
  const std::size_t extra = world.client.received.size() - calls;
  BOOST_TEST(static_cast<double>(extra) <= share * calls + 1);
  // By now the slow time is the usual one.
  world.client.received.clear();
  for (int i = 0; i < calls; ++i)
    world.call("/stream/x");
  BOOST_TEST(world.client.received.size() == calls);
}
