#include "camphorlug/gateway/request_trials.h"
#include "camphorlug/support/virtual_clock.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;
using gateway::request_trials;
using gateway::trial_answer;
using gateway::trial_step;
namespace data = boost::unit_test::data;

namespace {

/// What happens between a granted trial of node `a` and the next question of node `b`.
struct trial_case {
  const char* name;
  std::chrono::milliseconds pause;
  /// Node that reports `step`; none if empty.
  const char* reporter;
  trial_step step;
  std::size_t crashes_after;
  trial_answer expected;
  std::size_t crashes_before = 1;
};

std::ostream& operator<<(std::ostream& out, const trial_case& each) {
  return out << each.name;
}

const std::vector<trial_case> trials = {
    {"nothing is heard yet", 100ms, "", {}, 1, trial_answer::busy},
    {"nothing is heard until the end",
     request_trials::trial_time,
     "",
     {},
     1,
     trial_answer::granted},
    {"it was not sent", 1ms, "a", trial_step::not_sent, 1, trial_answer::granted},
    {"it has survived", 1ms, "a", trial_step::survived, 1, trial_answer::open},
    {"it has survived, and a further target crashes", 1ms, "a", trial_step::survived, 2,
     trial_answer::granted},
    {"another node reports", 1ms, "b", trial_step::survived, 1, trial_answer::busy},
    {"its target crashes", 100ms, "", {}, 2, trial_answer::granted},
    {"a node that knows of fewer crashes asks", 100ms, "", {}, 1, trial_answer::busy, 2},
};

} // namespace

BOOST_DATA_TEST_CASE(next_trial_depends_on_the_one_before, data::make(trials), each) {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::crash_cause_list causes{clock};
  request_trials decider{clock, causes};
  BOOST_TEST((decider.ask("request:1", "a", each.crashes_before) == trial_answer::granted));
  BOOST_TEST((decider.ask("request:2", "b", 1) == trial_answer::granted));
  clock.run_for(each.pause);
  if (*each.reporter)
    decider.record("request:1", each.reporter, each.step);
  BOOST_TEST((decider.ask("request:1", "b", each.crashes_after) == each.expected));
}

BOOST_AUTO_TEST_CASE(request_without_crashes_needs_no_trial) {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::crash_cause_list causes{clock};
  request_trials decider{clock, causes};
  BOOST_TEST((decider.ask("request:1", "a", 0) == trial_answer::open));
}

BOOST_AUTO_TEST_CASE(banned_request_of_a_node_that_does_not_know_the_ban_is_not_tried) {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::crash_cause_list causes{clock};
  request_trials decider{clock, causes};
  // Three crashes, a second apart, each 0.1 s after the request was sent.
  causes.merge_json(R"([["t1", 1, "shop", 3000000, {"request:1": [0, 100000, false]}],
                        ["t2", 1, "shop", 2000000, {"request:1": [0, 100000, false]}],
                        ["t3", 1, "shop", 1000000, {"request:1": [0, 100000, false]}]])");
  BOOST_REQUIRE(causes.find_banned("", {"request:1"}).has_value());
  BOOST_TEST((decider.ask("request:1", "a", 2) == trial_answer::busy));
}

BOOST_AUTO_TEST_CASE(request_is_tried_again_when_the_survival_of_an_equal_one_is_old) {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::crash_cause_list causes{clock};
  request_trials decider{clock, causes};
  BOOST_TEST((decider.ask("request:1", "a", 1) == trial_answer::granted));
  decider.record("request:1", "a", trial_step::survived);
  clock.run_for(request_trials::open_time - 1ms);
  BOOST_TEST((decider.ask("request:1", "b", 1) == trial_answer::open));
  clock.run_for(1ms);
  BOOST_TEST((decider.ask("request:1", "b", 1) == trial_answer::granted));
}

// Nodes learn of a crash one after the other, so that those that know it ask between others.
BOOST_AUTO_TEST_CASE(crash_that_not_all_nodes_know_yet_ends_only_one_trial) {
  asio::io_context context;
  support::virtual_clock clock{context};
  gateway::crash_cause_list causes{clock};
  request_trials decider{clock, causes};
  BOOST_TEST((decider.ask("request:1", "a", 2) == trial_answer::granted));
  decider.record("request:1", "a", trial_step::not_sent);
  clock.run_for(10ms);
  BOOST_TEST((decider.ask("request:1", "b", 1) == trial_answer::granted));
  clock.run_for(10ms);
  BOOST_TEST((decider.ask("request:1", "a", 2) == trial_answer::busy));
}
