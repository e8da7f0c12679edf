#include "fakes/simulated_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::stream_fault;

namespace {

constexpr std::size_t callers = 12;

/// Runs concurrent streams of several callers while connections break, stall, or
/// carry wrong, repeated or missing events. Returns whether each caller received
/// only its own text, complete if the stream ended without an error.
bool callers_receive_only_their_own_text(std::uint64_t seed) {
  fakes::simulated_cluster fixture(seed);
  fixture.add_runners(3, 4);
  fixture.add_nodes(2);
  fixture.run_for(1s);
  fixture.apply(fakes::model_document("", "v1", 3));
  if (!fixture.run_until(
          [&fixture] { return fixture.routable(0) == 3 && fixture.routable(1) == 3; }, 30s))
    return false;
  std::vector<fakes::recording_writer> answers(callers);
  std::vector<std::size_t> lengths(callers);
  for (std::size_t i = 0; i < callers; ++i) {
    lengths[i] = 1 + fixture.random.below(30);
    fixture.begin_call(i % 2, fakes::chat_request("prompt " + std::to_string(i), lengths[i]),
                       answers[i]);
  }
  for (int round = 0; round < 20; ++round) {
    for (auto& [id, engine] : fixture.fleet.engines()) {
      engine.fault = static_cast<stream_fault>(fixture.random.below(6));
      engine.fault_at = fixture.random.below(30);
    }
    fixture.run_for(std::chrono::milliseconds(fixture.random.below(60)));
  }
  fixture.run_for(60s);
  for (std::size_t i = 0; i < callers; ++i) {
    const std::string expected = fakes::expected_text("prompt " + std::to_string(i), lengths[i]);
    const std::string text = answers[i].text();
    const bool is_complete = answers[i].body.ends_with("data: [DONE]\n\n");
    if (!answers[i].finished || !expected.starts_with(text) || (is_complete && text != expected))
      return false;
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_never_receive_data_of_other_callers) {
  const bool holds = rc::check("each caller receives its own response or an error", [] {
    RC_ASSERT(callers_receive_only_their_own_text(*rc::gen::arbitrary<std::uint64_t>()));
  });
  BOOST_TEST(holds);
}
