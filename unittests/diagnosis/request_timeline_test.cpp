#include "camphorlug/diagnosis/log_time.h"
#include "camphorlug/diagnosis/request_timeline.h"
#include "camphorlug/diagnosis/target_attempt.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace camphorlug;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

// Log lines in the format that the gateway writes.
const char* const cut_request_line =
    R"({"time":"2026-12-04T01:02:05.445Z","severity":"warning","node":"edge-1","event":"request",)"
    R"("request":"102afa","route":"chat","outcome":"cut","detail":"11 events",)"
    R"("targets":" i-aa (stalled) (Operation was aborted (by us)) i-bb (Timeout) no-retries-left",)"
    R"("config":"33","first_ms":"174","total_ms":"1445"})";
const char* const target_suspected_line =
    R"({"time":"2026-12-04T01:02:04.300Z","severity":"warning","node":"edge-2",)"
    R"("event":"target_suspected","target":"i-aa","reason":"it stands still","for_ms":"800"})";
const char* const group_dissolving_line =
    R"({"time":"2026-12-04T01:02:04.900Z","severity":"info","node":"edge-2",)"
    R"("event":"group_phase","group":"g7","epoch":"7","phase":"dissolving","reason":"i-cc is gone"})";
const char* const group_join_order_line =
    R"({"time":"2026-12-04T00:02:04.900Z","severity":"info","node":"edge-2",)"
    R"("event":"order","target":"i-aa","kind":"join","group":"g7"})";
const char* const store_lost_line =
    R"({"time":"2026-12-04T01:02:04.000Z","severity":"warning","node":"edge-1",)"
    R"("event":"store_lost","table":"t"})";

struct unrelated_line {
  const char* description;
  std::string line;
};

std::ostream& operator<<(std::ostream& out, const unrelated_line& each) {
  return out << each.description;
}

std::string replaced(std::string text, const std::string& old_part, const std::string& new_part) {
  return text.replace(text.find(old_part), old_part.size(), new_part);
}

const unrelated_line unrelated_lines[] = {
    {"another request", replaced(cut_request_line, "102afa", "999999")},
    {"another target", replaced(target_suspected_line, "i-aa", "i-zz")},
    {"long before", replaced(target_suspected_line, "01:02:04", "01:01:04")},
    {"long after", replaced(target_suspected_line, "01:02:04", "01:03:04")},
    {"another node's store", replaced(store_lost_line, "edge-1", "edge-2")},
    {"another group", replaced(group_dissolving_line, "g7", "g8")},
};

bool explanation_contains(const diagnosis::request_timeline& timeline, const std::string& part) {
  const auto explanation = timeline.explanation();
  return std::any_of(explanation.begin(), explanation.end(), [&](const std::string& sentence) {
    return sentence.find(part) != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(timeline_links_request_id_to_causes) {
  diagnosis::request_timeline timeline("102afa");
  for (const char* line : {group_dissolving_line, target_suspected_line, cut_request_line,
                           group_join_order_line, store_lost_line})
    timeline.add(line);
  BOOST_TEST(timeline.found());
  for (const char* part :
       {"cut on route chat, 11 events", "node edge-1", "connection was reset",
        "Sending 1 went to i-aa; stalled; Operation was aborted (by us).",
        "Sending 2 went to i-bb; Timeout; the retries of all nodes were used up.",
        "target_suspected target=i-aa reason=it stands still", "reason=i-cc is gone", "store_lost",
        "1445 ms", "configuration 33"})
    BOOST_TEST(explanation_contains(timeline, part), part);
  BOOST_TEST(timeline.lines().size() == 4);
  BOOST_TEST(timeline.lines().front()["event"] == "store_lost");
}

BOOST_DATA_TEST_CASE(unrelated_lines_are_excluded, data::make(unrelated_lines), each) {
  diagnosis::request_timeline timeline("102afa");
  for (const char* line : {cut_request_line, group_join_order_line})
    timeline.add(line);
  timeline.add(each.line);
  BOOST_TEST(timeline.lines().size() == 1);
}

BOOST_DATA_TEST_CASE(malformed_log_lines_are_counted,
                     data::make({"", "{", "[1]", "{\"event\":\"x\"}", "plain text",
                                 "{\"event\":\"x\",\"time\":\"today\"}"}),
                     line) {
  diagnosis::request_timeline timeline("102afa");
  timeline.add(line);
  BOOST_TEST(timeline.unreadable() == 1);
  BOOST_TEST(!timeline.found());
  BOOST_TEST(explanation_contains(timeline, "No line is about request 102afa"));
}

BOOST_AUTO_TEST_CASE(attempts_without_failures_are_parsed) {
  BOOST_TEST(diagnosis::parse_attempts("").empty());
  const auto attempts = diagnosis::parse_attempts(" a b (x");
  BOOST_REQUIRE(attempts.size() == 2);
  BOOST_TEST(attempts[0].failure_reasons.empty());
  BOOST_TEST(attempts[1].failure_reasons == std::vector<std::string>{"x"});
}

BOOST_AUTO_TEST_CASE(log_times_are_parsed) {
  const auto first = diagnosis::parse_log_time("2026-12-04T23:59:59.900Z");
  const auto second = diagnosis::parse_log_time("2026-12-05T00:00:00.100Z");
  BOOST_REQUIRE((first && second));
  BOOST_TEST((*second - *first == 200ms));
  BOOST_TEST(!diagnosis::parse_log_time("2026-13-04T23:59:59.900Z").has_value());
}
