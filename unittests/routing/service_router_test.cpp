#include "camphorlug/routing/affinity_picker.h"
#include "camphorlug/routing/service_router.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace camphorlug;
using namespace std::chrono_literals;

namespace {

struct fixed_groups final : groups::group_view {
  groups::target_set targets(const std::string&) override {
    return std::make_shared<const std::vector<groups::routable_target>>(list);
  }

  std::vector<groups::routable_target> list;
};

struct router_fixture {
  router_fixture() : clock(context), random(1), router("s", view, picker, clock, random, near) {
    for (int i = 0; i < 6; ++i) {
      groups::routable_target target;
      target.id = "t" + std::to_string(i);
      target.data_centre = i < 3 ? "here" : "there";
      view.list.push_back(target);
    }
  }

  /// Sends `count` requests. Each target responds after its entry in `latency`, by
  /// default 50 ms, and fails the request if the entry is 0. Returns the number of
  /// requests per target.
  std::map<std::string, std::size_t>
  send(std::size_t count, const std::map<std::string, std::chrono::milliseconds>& latency) {
    std::map<std::string, std::size_t> sent;
    for (std::size_t i = 0; i < count; ++i) {
      const auto target = router.pick(random.engine()(), {});
      ++sent[target->id];
      const auto found = latency.find(target->id);
      if (found != latency.end() && found->second == 0ms)
        router.on_failure(target->id);
      else
        router.on_response(target->id, found == latency.end() ? 50ms : found->second);
      router.release_slot(target->id);
      clock.run_for(10ms);
    }
    return sent;
  }

  asio::io_context context;
  support::virtual_clock clock;
  support::random_source random;
  fixed_groups view;
  routing::affinity_picker picker;
  std::set<std::string> near;
  routing::service_router router;
};

} // namespace

BOOST_AUTO_TEST_CASE(straggler_is_ejected) {
  router_fixture fixture;
  fixture.send(100, {{"t0", 500ms}});
  const auto sent = fixture.send(300, {{"t0", 500ms}});
  const auto found = sent.find("t0");
  BOOST_TEST((found == sent.end() ? 0 : found->second) < 300 / 6 / 2);
}

// A target that fails requests immediately never has load, so it must not look like the best
// choice.
BOOST_AUTO_TEST_CASE(failing_target_does_not_attract_requests) {
  router_fixture fixture;
  fixture.send(30, {{"t0", 0ms}});
  const auto sent = fixture.send(300, {{"t0", 0ms}});
  const auto found = sent.find("t0");
  BOOST_TEST((found == sent.end() ? 0 : found->second) < 300 / 6 / 2);
}

BOOST_AUTO_TEST_CASE(at_most_a_third_of_targets_is_ejected) {
  router_fixture fixture;
  const std::map<std::string, std::chrono::milliseconds> slow{
      {"t0", 900ms}, {"t1", 900ms}, {"t2", 900ms}};
  fixture.send(200, slow);
  const auto sent = fixture.send(600, slow);
  std::size_t used_slow = 0;
  for (const char* id : {"t0", "t1", "t2"})
    used_slow += sent.contains(id) ? 1 : 0;
  BOOST_TEST(used_slow >= 1);
}

BOOST_AUTO_TEST_CASE(untried_targets_are_preferred) {
  router_fixture fixture;
  const auto first = fixture.router.pick(7, {});
  const auto second = fixture.router.pick(7, {first->id});
  BOOST_TEST(first->id != second->id);
  fixture.view.list.resize(1);
  BOOST_TEST(fixture.router.pick(7, {"t0"})->id == "t0");
}

BOOST_AUTO_TEST_CASE(window_shrinks_on_overload_and_grows_on_timely_responses) {
  routing::concurrency_window window(64);
  const std::size_t start = window.size();
  window.on_overload(support::clock::time_point(10s));
  BOOST_TEST(window.size() < start);
  for (int i = 0; i < 2000; ++i)
    window.on_timely_response();
  BOOST_TEST(window.size() > start);
  BOOST_TEST(window.size() <= 64);
  for (int i = 0; i < 100; ++i)
    window.on_overload(support::clock::time_point(std::chrono::seconds(20 + 2 * i)));
  BOOST_TEST(window.size() == 1);
}
