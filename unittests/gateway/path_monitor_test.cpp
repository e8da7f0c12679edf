#include "camphorlug/gateway/path_monitor.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace camphorlug::gateway;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct monitor_fixture {
  ~monitor_fixture() { clock.shut_down(); }

  /// An answer of the service on a connection of this node.
  void answer(const std::string& service = "shop") {
    path_monitor::wait wait(monitor, service, "any", [] {});
    wait.record_answer();
  }
  void run_for(std::chrono::milliseconds span) {
    for (auto passed = 0ms; passed < span; passed += 50ms) {
      clock.run_for(50ms);
      monitor.check();
      for (const std::string& service : monitor.take_silent_services()) {
        if (!answers_probes)
          monitor.record_silence(service);
      }
    }
  }

  asio::io_context context;
  support::virtual_clock clock{context};
  path_monitor monitor{clock};
  bool answers_probes = true;
};

struct loss_case {
  const char* name;
  void (*play)(monitor_fixture&);
  bool is_lost;
};

std::ostream& operator<<(std::ostream& out, const loss_case& each) {
  return out << each.name;
}

const std::vector<loss_case> losses = {
    {"one target fails again and again",
     [](monitor_fixture& node) {
       for (int i = 0; i < 5; ++i) {
         node.run_for(500ms);
         node.monitor.record_failure("shop", "a");
       }
     },
     false},
    {"two targets fail with no answer in between",
     [](monitor_fixture& node) {
       node.run_for(500ms);
       node.monitor.record_failure("shop", "a");
       node.monitor.record_failure("shop", "b");
     },
     true},
    {"a domain fails in one moment",
     [](monitor_fixture& node) {
       for (const char* each : {"a", "b", "c", "d"})
         node.monitor.record_failure("shop", each);
     },
     false},
    {"two targets fail and another one answers in between",
     [](monitor_fixture& node) {
       node.run_for(500ms);
       node.monitor.record_failure("shop", "a");
       node.answer();
       node.run_for(500ms);
       node.monitor.record_failure("shop", "b");
     },
     false},
    {"failures are far apart",
     [](monitor_fixture& node) {
       node.run_for(500ms);
       node.monitor.record_failure("shop", "a");
       node.run_for(path_monitor::failure_memory + 100ms);
       node.monitor.record_failure("shop", "b");
     },
     false},
    {"targets of different services fail",
     [](monitor_fixture& node) {
       node.run_for(500ms);
       node.monitor.record_failure("shop", "a");
       node.monitor.record_failure("desk", "b");
     },
     false},
    {"all targets are silent for a second",
     [](monitor_fixture& node) {
       path_monitor::wait first(node.monitor, "shop", "a", [] {});
       path_monitor::wait second(node.monitor, "shop", "b", [] {});
       node.answers_probes = false;
       node.run_for(1s);
     },
     false},
    {"targets are silent for two seconds and answer probes",
     [](monitor_fixture& node) {
       path_monitor::wait first(node.monitor, "shop", "a", [] {});
       path_monitor::wait second(node.monitor, "shop", "b", [] {});
       node.run_for(2s);
     },
     false},
    {"targets are silent for two seconds and answer no probe",
     [](monitor_fixture& node) {
       path_monitor::wait first(node.monitor, "shop", "a", [] {});
       path_monitor::wait second(node.monitor, "shop", "b", [] {});
       node.answers_probes = false;
       node.run_for(2s);
     },
     true},
    {"one target is silent and answers no probe",
     [](monitor_fixture& node) {
       path_monitor::wait first(node.monitor, "shop", "a", [] {});
       path_monitor::wait second(node.monitor, "shop", "a", [] {});
       node.answers_probes = false;
       node.run_for(2s);
     },
     false},
};

} // namespace

BOOST_DATA_TEST_CASE(loss_of_the_way_is_proved_by_several_targets, data::make(losses), each) {
  monitor_fixture node;
  node.answer();
  each.play(node);
  BOOST_TEST(node.monitor.has_lost("shop") == each.is_lost);
  BOOST_TEST(node.monitor.has_lost_all() == each.is_lost);
}

BOOST_FIXTURE_TEST_CASE(loss_ends_after_answered_probes_in_a_row, monitor_fixture) {
  answer();
  run_for(500ms);
  monitor.record_failure("shop", "a");
  monitor.record_failure("shop", "b");
  for (const bool answered : {true, false, true}) {
    monitor.record_probe("shop", answered);
    BOOST_TEST(monitor.has_lost("shop"));
  }
  monitor.record_probe("shop", true);
  BOOST_TEST(!monitor.has_lost("shop"));
  BOOST_TEST(!monitor.is_in_doubt());
}

BOOST_FIXTURE_TEST_CASE(silent_waits_end_with_the_loss, monitor_fixture) {
  answer();
  int abandoned = 0;
  path_monitor::wait wait(monitor, "shop", "a", [&] { ++abandoned; });
  path_monitor::wait other(monitor, "desk", "c", [&] { abandoned += 100; });
  run_for(500ms);
  monitor.record_failure("shop", "a");
  monitor.record_failure("shop", "b");
  BOOST_TEST(abandoned == 1);
}
