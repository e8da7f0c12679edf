#include "camphorlug/replicas/held_member_checker.h"
#include "camphorlug/support/virtual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
using gateway::target_registry;
namespace data = boost::unit_test::data;

namespace {

/// Reaches no instance.
class silent_prober final : public replicas::instance_prober {
public:
  support::task<bool> probe(gateway::target_entry) override { co_return false; }
  support::task<replicas::process_state> ask_process(gateway::target_entry) override {
    co_return replicas::process_state::ended;
  }
  support::task<replicas::report_result> report(gateway::target_entry) override {
    ++asked;
    co_return replicas::report_result{};
  }
  std::size_t asked = 0;
};

struct checker_fixture {
  checker_fixture() {
    registry.set_group_progress([this](const auto&) { return progresses; });
    gateway::target_entry entry;
    entry.id = "a";
    entry.service = "engines";
    entry.started_at_ms = 100;
    entry.membership = gateway::group_membership{"g", 7, 1, gateway::membership_state::ready};
    registry.update("a", 1, entry);
    clock.run_for(3s);
    registry.remove("a", 2);
  }
  ~checker_fixture() { clock.shut_down(); }
  checker_fixture(const checker_fixture&) = delete;
  checker_fixture& operator=(const checker_fixture&) = delete;

  /// Whether the group may serve during all of `span`, with checks every 50 ms.
  bool serves_for(std::chrono::milliseconds span) {
    bool serves = true;
    for (auto passed = 0ms; passed < span; passed += interval) {
      checker.update(place);
      clock.run_for(interval);
      registry.expire();
      serves = serves && registry.find("a") && registry.all().at("a").is_present();
    }
    return serves;
  }

  static constexpr std::chrono::milliseconds interval{50};

  asio::io_context context;
  support::virtual_clock clock{context};
  target_registry registry{clock};
  silent_prober prober;
  bool progresses = true;
  std::optional<std::size_t> place;
  replicas::held_member_checker checker{context.get_executor(), clock, registry, prober,
                                        [this](const auto&) { return progresses; }};
};

/// Place of the node among those that ask: none, or the first.
const std::optional<std::size_t> places[] = {std::nullopt, 0};

} // namespace

// All questions time out, as on links that only requests pass.
BOOST_DATA_TEST_CASE(progress_of_the_group_alone_holds_its_member, data::xrange(2), index) {
  checker_fixture fixture;
  fixture.place = places[index];
  BOOST_TEST(fixture.serves_for(20s));
  BOOST_TEST(fixture.prober.asked == (fixture.place ? 20U : 0U));
  BOOST_TEST(fixture.checker.sightings().at("a").is_member);
  fixture.progresses = false;
  BOOST_TEST(fixture.serves_for(target_registry::sighting_lifetime - 100ms));
  BOOST_TEST(!fixture.serves_for(200ms));
  BOOST_TEST(fixture.registry.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(progress_does_not_outdo_the_news_that_the_member_is_gone) {
  checker_fixture fixture;
  BOOST_TEST(fixture.serves_for(1s));
  fixture.registry.apply_sighting("a", {100, 7, false, 0ms});
  BOOST_TEST(!fixture.serves_for(100ms));
  BOOST_TEST(fixture.registry.find("a") == nullptr);
}
