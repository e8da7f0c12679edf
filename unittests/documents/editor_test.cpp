#include "camphorlug/table/change_index.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
using namespace std::chrono_literals;
using documents::edit_outcome;
namespace data = boost::unit_test::data;

namespace camphorlug::documents {
std::ostream& operator<<(std::ostream& out, edit_outcome outcome) {
  return out << static_cast<int>(outcome);
}
} // namespace camphorlug::documents

namespace {

support::task<> edit(documents::document_editor& editor, documents::edit_request request,
                     documents::edit_result& result, std::size_t& done) {
  result = co_await editor.edit(std::move(request));
  ++done;
}

struct editor_fixture : fakes::simulated_cluster {
  editor_fixture() {
    add_nodes(6);
    run_for(2s);
  }

  documents::edit_result edit_once(std::size_t node, documents::edit_request request) {
    documents::edit_result result;
    std::size_t done = 0;
    support::spawn(context.get_executor(), "edit",
                   edit(nodes[node].node->editor(), std::move(request), result, done));
    run_until([&done] { return done == 1; }, 30s);
    return result;
  }
};

documents::edit_request make_edit(std::uint64_t expected_number, const std::string& id,
                                  const std::string& author = "a") {
  return {"plain", fakes::plain_document(), expected_number, id, author};
}

} // namespace

BOOST_DATA_TEST_CASE(exactly_one_concurrent_edit_is_accepted, data::make({2, 10}), operators) {
  editor_fixture fixture;
  std::vector<documents::edit_result> results(operators);
  std::size_t done = 0;
  for (int i = 0; i < operators; ++i)
    support::spawn(fixture.context.get_executor(), "edit",
                   edit(fixture.nodes[i % 6].node->editor(),
                        make_edit(0, "e" + std::to_string(i), "author " + std::to_string(i)),
                        results[i], done));
  fixture.run_until([&] { return done == results.size(); }, 30s);
  std::size_t accepted_count = 0;
  std::string accepted_author;
  for (const auto& result : results) {
    if (result.outcome != edit_outcome::accepted)
      continue;
    ++accepted_count;
    accepted_author = result.current.author;
  }
  BOOST_TEST(accepted_count == 1);
  for (const auto& result : results) {
    if (result.outcome == edit_outcome::accepted)
      continue;
    BOOST_TEST(result.outcome == edit_outcome::conflict);
    BOOST_TEST(result.current.author == accepted_author);
    BOOST_TEST(!result.current.written_at.empty());
  }
}

BOOST_AUTO_TEST_CASE(lost_commit_response_is_resolved_and_retry_is_idempotent) {
  editor_fixture fixture;
  fixture.table.commit_answers_to_drop = 1;
  BOOST_TEST(fixture.edit_once(0, make_edit(0, "e1")).outcome == edit_outcome::accepted);
  BOOST_TEST(fixture.edit_once(1, make_edit(1, "e2")).outcome == edit_outcome::accepted);
  const auto retry = fixture.edit_once(2, make_edit(0, "e1"));
  BOOST_TEST(retry.outcome == edit_outcome::accepted);
  BOOST_TEST(retry.current.number == 1);
  BOOST_TEST(fixture.table.rows.scan("history/plain/").size() == 2);
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_resolved_by_a_retry) {
  editor_fixture fixture;
  fixture.table.commit_answers_to_drop = 1;
  fixture.table.before_commit = [&fixture](const table::transaction& change) {
    // The store fails right after the write was committed.
    if (change.writes.front().key == "document/plain")
      fixture.table.down = true;
  };
  BOOST_TEST(fixture.edit_once(0, make_edit(0, "e1")).outcome == edit_outcome::unknown);
  fixture.table.before_commit = nullptr;
  fixture.table.down = false;
  const auto retry = fixture.edit_once(3, make_edit(0, "e1"));
  BOOST_TEST(retry.outcome == edit_outcome::accepted);
  BOOST_TEST(retry.current.number == 1);
}

BOOST_AUTO_TEST_CASE(retry_whose_history_cannot_be_read_has_an_unknown_outcome) {
  editor_fixture fixture;
  BOOST_TEST(fixture.edit_once(0, make_edit(0, "e1")).outcome == edit_outcome::accepted);
  BOOST_TEST(fixture.edit_once(1, make_edit(1, "e2")).outcome == edit_outcome::accepted);
  fixture.table.unreadable_prefix = "history/";
  BOOST_TEST(fixture.edit_once(2, make_edit(0, "e1")).outcome == edit_outcome::unknown);
  fixture.table.unreadable_prefix = "";
  BOOST_TEST(fixture.edit_once(2, make_edit(0, "e1")).outcome == edit_outcome::accepted);
}

BOOST_AUTO_TEST_CASE(edit_writes_nothing_while_store_is_down) {
  editor_fixture fixture;
  fixture.table.down = true;
  BOOST_TEST(fixture.edit_once(0, make_edit(0, "e1")).outcome == edit_outcome::not_written);
  BOOST_TEST(fixture.table.rows.scan("document/").empty());
}

BOOST_AUTO_TEST_CASE(malformed_row_keeps_the_previous_version_active) {
  editor_fixture fixture;
  fixture.edit_once(0, make_edit(0, "e1"));
  fixture.table.rows.commit(
      {{}, {{"document/plain", "not json"}, table::make_index_write("document/")}});
  fixture.table.rows.commit({{}, {{"document/other", "{}"}, table::make_index_write("document/")}});
  fixture.run_for(5s);
  for (auto& node : fixture.nodes) {
    BOOST_REQUIRE(node.node->documents().find("plain"));
    BOOST_TEST(node.node->documents().find("plain")->version.number == 1);
  }
}
