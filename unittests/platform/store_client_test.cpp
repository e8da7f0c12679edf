#include "base64.h"
#include "platform_order_client.h"
#include "store_client.h"

#include "camphorlug/support/virtual_clock.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include "fakes/scripted_client.h"

#include <asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>
#include <vector>

using namespace camphorlug;
using namespace std::chrono_literals;
using fakes::answer_ending;
using nlohmann::json;
using replicas::order_kind;
using replicas::order_result;
namespace data = boost::unit_test::data;

namespace {

constexpr const char* store_address = "10.0.0.1:1";

struct platform_client_fixture {
  ~platform_client_fixture() { clock.shut_down(); }

  void answer(int status, const json& body, answer_ending end = answer_ending::complete) {
    fakes::scripted_answer script;
    script.status = status;
    script.pieces = {body.dump()};
    script.end = end;
    client.answers[store_address].push_back(script);
  }

  void answer_in_era(std::uint64_t era, int status, const json& body) {
    answer(status, body);
    client.answers[store_address].back().headers.add("Store-Era", std::to_string(era));
  }

  /// Runs `call` to completion. Returns which store_error it threw, or an empty string.
  template<class Call>
  std::string run(Call call) {
    std::string error;
    done = false;
    auto work = [&]() -> support::task<> {
      try {
        co_await call();
      } catch (const table::store_error& failure) {
        error = failure.may_have_committed() ? "may have committed" : "not committed";
      }
      done = true;
    };
    support::spawn(context.get_executor(), "call", work());
    while (!done)
      clock.run_for(50ms);
    return error;
  }

  bool done = false;
  asio::io_context context;
  support::virtual_clock clock{context};
  fakes::scripted_client client{clock};
  platform::store_client store{client, store_address};
  platform::platform_order_client orders{client};
};

json row(const char* key, std::uint64_t version, const char* value) {
  return {{"table", "t"},
          {"part", ""},
          {"key", key},
          {"ver", version},
          {"value", platform::to_base64(value)}};
}

table::transaction sample_transaction() {
  table::transaction change;
  change.checks.push_back({"a", 7});
  change.writes.push_back({"a", "text"});
  change.writes.push_back({"b", std::nullopt});
  return change;
}

struct commit_case {
  const char* name;
  int status;
  answer_ending end;
  /// The expected store_error; empty when the response is a commit result.
  const char* error;
};

std::ostream& operator<<(std::ostream& out, const commit_case& each) {
  return out << each.name;
}

const commit_case commit_cases[] = {
    {"done", 200, answer_ending::complete, ""},
    {"condition failed", 412, answer_ending::complete, ""},
    {"busy", 429, answer_ending::complete, "not committed"},
    {"unavailable", 503, answer_ending::complete, "not committed"},
    {"answer lost", 200, answer_ending::reset, "may have committed"},
    {"answer stalled", 200, answer_ending::silence, "may have committed"},
};

struct order_case {
  int status;
  order_result expected;
};

std::ostream& operator<<(std::ostream& out, const order_case& each) {
  return out << each.status;
}

const order_case order_cases[] = {
    {202, order_result::begun},    {200, order_result::done},
    {409, order_result::misfit},   {400, order_result::misfit},
    {412, order_result::outdated}, {421, order_result::wrong_instance},
    {503, order_result::unknown},
};

replicas::replica_order make_order(order_kind kind) {
  replicas::replica_order order;
  order.kind = kind;
  order.target = "i1";
  order.address = store_address;
  order.group = "g7";
  order.epoch = 7;
  order.model = "m0";
  order.members = {"i1", "i2"};
  order.fence = 9;
  return order;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(table_is_read_page_by_page, platform_client_fixture) {
  answer(200, {{"rows", {row("a", 3, "one"), row("b", 4, "two")}}, {"hasMore", true}, {"ver", 9}});
  answer(200, {{"rows", {row("c", 5, "three")}}, {"hasMore", false}, {"ver", 12}});
  table::feed_batch batch;
  BOOST_TEST(run([&]() -> support::task<> { batch = co_await store.read_all("t"); }).empty());
  BOOST_REQUIRE(batch.rows.size() == 3);
  BOOST_TEST(batch.rows[2].value == "three");
  // The first page may have changed before the second was read, so only the version of the
  // first page is valid for the whole result.
  BOOST_TEST(batch.version == 9);
  BOOST_TEST(client.received[0].target == "/api/rows-get?table=t&part=");
  BOOST_TEST(client.received[1].target == "/api/rows-get?table=t&part=&from=b%00");
}

// A connection that has become silent must not delay the read of a stale table.
BOOST_FIXTURE_TEST_CASE(urgent_read_uses_a_new_connection, platform_client_fixture) {
  const json page = {{"ver", 1}, {"rows", json::array()}};
  answer(200, page);
  answer(200, page);
  BOOST_TEST(run([&]() -> support::task<> {
               co_await store.read_all("t");
               co_await store.read_all_within("t", 300ms);
             }).empty());
  BOOST_REQUIRE(client.received.size() == 2);
  BOOST_TEST((client.received[0].connection == net::connection_use::pooled));
  BOOST_TEST((client.received[1].connection == net::connection_use::fresh));
  BOOST_TEST((client.received[1].connect_timeout == 300ms));
}

BOOST_FIXTURE_TEST_CASE(changes_and_expired_history_are_distinguished, platform_client_fixture) {
  json dropped = row("b", 11, "");
  dropped["deleted"] = true;
  dropped.erase("value");
  answer(200, {{"rows", {row("a", 10, "new"), dropped}}, {"ver", 11}});
  answer(410, {{"error", "gone"}});
  table::feed_batch changed;
  table::feed_batch gone;
  BOOST_TEST(run([&]() -> support::task<> {
               changed = co_await store.changes("t", 9, 500ms);
               gone = co_await store.changes("t", 11, 500ms);
             }).empty());
  BOOST_TEST(changed.rows[1].deleted);
  BOOST_TEST(!changed.history_truncated);
  BOOST_TEST(gone.history_truncated);
  BOOST_TEST(client.received[0].target == "/api/rows-feed?table=t&sinceRev=9&waitMs=500");
}

BOOST_FIXTURE_TEST_CASE(versions_contain_the_era_of_the_answer, platform_client_fixture) {
  answer_in_era(3, 200, {{"rows", {row("a", 10, "new")}}, {"ver", 11}});
  answer_in_era(4, 200, {{"rows", {row("a", 9, "old")}}, {"ver", 9}});
  answer_in_era(4, 410, {{"error", "gone"}});
  table::feed_batch before;
  table::feed_batch after;
  table::feed_batch gone;
  BOOST_TEST(run([&]() -> support::task<> {
               before = co_await store.read_all("t");
               after = co_await store.read_all("t");
               gone = co_await store.changes("t", before.version, 500ms);
             }).empty());
  BOOST_TEST(before.version == table::make_version(3, 11));
  BOOST_TEST(before.rows[0].version == table::make_version(3, 10));
  BOOST_TEST((after.version > before.version));
  BOOST_TEST((after.rows[0].version > before.rows[0].version));
  BOOST_TEST(gone.history_truncated);
  BOOST_TEST(table::era_of(gone.version) == 4);
  BOOST_TEST(client.received[2].target == "/api/rows-feed?table=t&sinceRev=11&waitMs=500");
  BOOST_TEST(store.era() == 4);
}

// The number from which the feed was asked may have been given out again.
BOOST_FIXTURE_TEST_CASE(changes_of_another_era_are_no_continuation, platform_client_fixture) {
  answer_in_era(4, 200, {{"rows", {row("a", 12, "other")}}, {"ver", 12}});
  table::feed_batch batch;
  BOOST_TEST(run([&]() -> support::task<> {
               batch = co_await store.changes("t", table::make_version(3, 11), 500ms);
             }).empty());
  BOOST_TEST(batch.history_truncated);
  BOOST_TEST(batch.rows.empty());
}

BOOST_FIXTURE_TEST_CASE(pages_of_different_eras_are_not_combined, platform_client_fixture) {
  answer_in_era(3, 200, {{"rows", {row("a", 5, "x")}}, {"ver", 9}, {"hasMore", true}});
  answer_in_era(4, 200, {{"rows", {row("b", 6, "y")}}, {"ver", 8}, {"hasMore", false}});
  BOOST_TEST(run([&]() -> support::task<> { co_await store.read_all("t"); }) == "not committed");
}

struct era_commit_case {
  const char* name;
  std::uint64_t known_era;
  std::uint64_t checked_era;
  std::uint64_t answered_era;
  bool is_sent;
  bool committed;
  const char* error;
};

std::ostream& operator<<(std::ostream& out, const era_commit_case& each) {
  return out << each.name;
}

const era_commit_case era_commit_cases[] = {
    {"same era", 3, 3, 3, true, true, ""},
    {"check of an earlier era", 4, 3, 4, false, false, ""},
    {"new era on the way", 3, 3, 4, true, false, "may have committed"},
};

BOOST_DATA_TEST_CASE(check_of_an_earlier_era_never_succeeds, data::make(era_commit_cases), each) {
  platform_client_fixture fixture;
  fixture.answer_in_era(each.known_era, 200, {{"rows", json::array()}, {"ver", 20}});
  fixture.answer_in_era(each.answered_era, 200, {{"ver", 21}});
  table::commit_result result;
  const std::string error = fixture.run([&]() -> support::task<> {
    co_await fixture.store.read_all("t");
    table::transaction change = sample_transaction();
    change.checks[0].version = table::make_version(each.checked_era, 7);
    result = co_await fixture.store.commit(std::move(change));
  });
  BOOST_TEST(error == each.error);
  BOOST_TEST(result.committed == each.committed);
  BOOST_TEST((fixture.client.received.size() == 2) == each.is_sent);
  if (each.is_sent)
    BOOST_TEST(json::parse(fixture.client.received[1].body)["expectRev"][0]["ver"] == 7);
  if (each.committed)
    BOOST_TEST(result.version == table::make_version(3, 21));
}

BOOST_FIXTURE_TEST_CASE(malformed_store_response_is_an_error, platform_client_fixture) {
  answer(200, {{"rows", 7}});
  BOOST_TEST(run([&]() -> support::task<> { co_await store.read_all("t"); }) == "not committed");
}

BOOST_FIXTURE_TEST_CASE(transaction_body_contains_checks_and_writes, platform_client_fixture) {
  answer(200, {{"ver", 12}, {"nowMs", 1}});
  table::commit_result result;
  run([&]() -> support::task<> { result = co_await store.commit(sample_transaction()); });
  BOOST_TEST(result.committed);
  BOOST_TEST(result.version == 12);
  const json body = json::parse(client.received[0].body);
  const json expected = json::parse(R"({
    "expectRev":[{"table":"camphorlug","part":"","key":"a","ver":7}],
    "upserts":[{"table":"camphorlug","part":"","key":"a","value":"dGV4dA=="}],
    "remove":[{"table":"camphorlug","part":"","key":"b"}]})");
  BOOST_TEST(body == expected);
}

BOOST_DATA_TEST_CASE(lost_commit_response_leaves_outcome_unknown, data::make(commit_cases), each) {
  platform_client_fixture fixture;
  fakes::scripted_answer script;
  script.status = each.status;
  script.end = each.end;
  if (each.end == answer_ending::complete)
    script.pieces = {each.status == 412 ? json{{"rows", {row("a", 8, "x")}}, {"ver", 8}}.dump()
                                        : json{{"ver", 12}}.dump()};
  fixture.client.answers[store_address].push_back(script);
  table::commit_result result;
  const std::string error = fixture.run(
      [&]() -> support::task<> { result = co_await fixture.store.commit(sample_transaction()); });
  BOOST_TEST(error == each.error);
  BOOST_TEST(result.committed == (each.status == 200 && error.empty()));
  if (each.status == 412)
    BOOST_TEST(result.current.at(0).version == 8);
}

BOOST_DATA_TEST_CASE(order_status_codes_are_mapped_to_results, data::make(order_cases), each) {
  platform_client_fixture fixture;
  fixture.answer(each.status, {});
  order_result result = order_result::not_sent;
  fixture.run([&]() -> support::task<> {
    auto order = make_order(order_kind::open);
    result = co_await fixture.orders.send(std::move(order), {});
  });
  BOOST_TEST((result == each.expected));
}

// An order that timed out may still be executed; one whose connection was refused was not sent.
BOOST_FIXTURE_TEST_CASE(timed_out_order_has_unknown_result, platform_client_fixture) {
  fakes::scripted_answer refused;
  refused.refused = true;
  fakes::scripted_answer silent;
  silent.end = answer_ending::silence;
  client.answers[store_address] = {refused, silent};
  std::vector<order_result> results;
  run([&]() -> support::task<> {
    for (int i = 0; i < 2; ++i) {
      auto order = make_order(order_kind::leave);
      const order_result result = co_await orders.send(std::move(order), {});
      results.push_back(result);
    }
  });
  BOOST_TEST((results == std::vector{order_result::not_sent, order_result::unknown}));
}

BOOST_FIXTURE_TEST_CASE(order_body_contains_the_fields_of_its_kind, platform_client_fixture) {
  const std::pair<order_kind, const char*> expected[] = {
      {order_kind::join,
       R"({"op":"join","fence":9,"group":"g7","epoch":7,"model":"m0","members":["i1","i2"]})"},
      {order_kind::open, R"({"op":"open","fence":9,"group":"g7","epoch":7})"},
      {order_kind::close, R"({"op":"close","fence":9,"group":"g7","epoch":7,"mode":"queue"})"},
      {order_kind::leave, R"({"op":"leave","fence":9,"group":"g7","epoch":7})"},
      {order_kind::stage, R"({"op":"stage","fence":9,"model":"m0"})"},
  };
  for (const auto& [kind, body] : expected) {
    answer(202, {});
    run([&, kind = kind]() -> support::task<> {
      auto order = make_order(kind);
      co_await orders.send(std::move(order), {});
    });
    BOOST_TEST(json::parse(client.received.back().body) == json::parse(body));
    BOOST_TEST(client.received.back().headers.find("X-Expect-Instance").value_or("") == "i1");
  }
}

BOOST_FIXTURE_TEST_CASE(probe_fails_only_after_two_attempts, platform_client_fixture) {
  fakes::scripted_answer silent;
  silent.end = answer_ending::silence;
  client.answers[store_address] = {silent};
  answer(200, {});
  client.answers[store_address].push_back(silent);
  client.answers[store_address].push_back(silent);
  gateway::target_entry entry;
  entry.id = "i1";
  entry.address = store_address;
  std::vector<bool> answered;
  run([&]() -> support::task<> {
    for (int i = 0; i < 2; ++i) {
      const bool answers = co_await orders.probe(entry);
      answered.push_back(answers);
    }
  });
  BOOST_TEST((answered == std::vector{true, false}));
  BOOST_TEST(client.received.size() == 4);
}

namespace {

struct instance_notice_case {
  int status;
  bool expected;
};

std::ostream& operator<<(std::ostream& out, const instance_notice_case& each) {
  return out << each.status;
}

const instance_notice_case instance_notice_cases[] = {
    {200, true}, {202, true}, {409, true}, {503, true}, {421, false}};

} // namespace

BOOST_DATA_TEST_CASE(notices_are_read_from_orders_and_probes, data::make(instance_notice_cases),
                     each) {
  platform_client_fixture fixture;
  std::vector<std::string> leaving;
  fixture.orders.on_notice([&](const std::string& instance, const gateway::target_notice& notice) {
    if (notice.leaving)
      leaving.push_back(instance);
  });
  fakes::scripted_answer script;
  script.status = each.status;
  script.headers.add("Server-Leaving", "1");
  fixture.client.answers[store_address] = {script, script, script};
  fixture.run([&]() -> support::task<> {
    replicas::replica_order order;
    order.target = "i1";
    order.address = store_address;
    co_await fixture.orders.send(std::move(order), {});
    gateway::target_entry entry;
    entry.id = "i2";
    entry.address = store_address;
    co_await fixture.orders.probe(entry);
  });
  const std::set<std::string> instances(leaving.begin(), leaving.end());
  const std::set<std::string> expected =
      each.expected ? std::set<std::string>{"i1", "i2"} : std::set<std::string>{};
  BOOST_TEST((instances == expected));
}
