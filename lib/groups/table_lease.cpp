#include "camphorlug/groups/table_lease.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"

#include <nlohmann/json.hpp>

namespace camphorlug::groups {

static std::string holder_key(const std::string& pool) {
  return "pool/" + pool + "/holder";
}

static std::string renewal_key(const std::string& pool) {
  return "pool/" + pool + "/renewal";
}

namespace {

/// The value of the holder row.
struct holder_row {
  std::string node;
  std::uint64_t number = 0;
  /// Identifies this write of the row, so that a node whose commit response was
  /// lost can tell whether its takeover succeeded.
  std::string attempt;
  bool released = false;

  std::string to_json() const {
    return nlohmann::json{
        {"node", node}, {"number", number}, {"attempt", attempt}, {"released", released}}
        .dump();
  }

  static holder_row from_json(const std::string& json) {
    const auto value = nlohmann::json::parse(json);
    return {value.at("node"), value.at("number"), value.at("attempt"), value.at("released")};
  }
};

} // namespace

struct table_lease::lease_rows {
  holder_row holder;
  std::uint64_t holder_version = 0;
  std::uint64_t renewal_version = 0;
};

table_lease::table_lease(table::table_store& store, support::clock& time,
                         support::random_source& random, std::string pool, std::string node,
                         lease_timing timing)
    : store_(store), time_(time), random_(random), pool_(std::move(pool)), node_(std::move(node)),
      timing_(timing) {}

bool table_lease::held() const {
  return is_holder_ && time_.now() < term_started_at_ + timing_.term - timing_.margin;
}

table::row_check table_lease::ownership_check() const {
  return {holder_key(pool_), holder_version_};
}

support::task<table_lease::lease_rows> table_lease::read_rows() {
  lease_rows rows;
  const auto found = co_await store_.scan("pool/" + pool_ + "/");
  for (const table::row& row : found) {
    if (row.key == holder_key(pool_)) {
      rows.holder = holder_row::from_json(row.value);
      rows.holder_version = row.version;
    }
    if (row.key == renewal_key(pool_))
      rows.renewal_version = row.version;
  }
  last_holder_ = rows.holder.node;
  co_return rows;
}

support::task<bool> table_lease::try_acquire() {
  is_holder_ = false;
  const auto read_at = time_.now();
  try {
    const lease_rows rows = co_await read_rows();
    const bool is_free = rows.holder_version == 0 || rows.holder.released;
    if (!renewal_unchanged_since_ || rows.renewal_version != seen_renewal_version_) {
      seen_renewal_version_ = rows.renewal_version;
      renewal_unchanged_since_ = time_.now();
    }
    // The row is known to be unchanged only up to the time the read was sent.
    if (!is_free && read_at - *renewal_unchanged_since_ < timing_.term)
      co_return false;
    co_return co_await take_over(rows);
  } catch (const table::store_error&) {
    co_return false;
  }
}

support::task<bool> table_lease::take_over(lease_rows rows) {
  const holder_row new_row{node_, rows.holder.number + 1, random_.identifier(), false};
  table::transaction change;
  change.checks.push_back({holder_key(pool_), rows.holder_version});
  change.checks.push_back({renewal_key(pool_), rows.renewal_version});
  change.writes.push_back({holder_key(pool_), new_row.to_json()});
  change.writes.push_back({renewal_key(pool_), new_row.attempt});
  const auto sent_at = time_.now();
  bool answer_lost = false;
  try {
    const table::commit_result result = co_await store_.commit(std::move(change));
    if (!result.committed)
      co_return false;
    number_ = new_row.number;
    start_term(sent_at, result.version);
  } catch (const table::store_error& error) {
    if (!error.may_have_committed())
      throw;
    answer_lost = true;
  }
  if (answer_lost) {
    const bool confirmed = co_await confirm_takeover(new_row.attempt, sent_at);
    if (!confirmed)
      co_return false;
  }
  last_holder_ = node_;
  support::log_event(support::log_level::info, "lease_taken",
                     {{"pool", pool_}, {"number", std::to_string(number_)}});
  co_return held();
}

support::task<bool> table_lease::confirm_takeover(std::string attempt,
                                                  support::clock::time_point sent_at) {
  const lease_rows rows = co_await read_rows();
  if (rows.holder.attempt != attempt)
    co_return false;
  number_ = rows.holder.number;
  start_term(sent_at, rows.holder_version);
  co_return true;
}

void table_lease::start_term(support::clock::time_point sent_at, std::uint64_t holder_version) {
  is_holder_ = true;
  term_started_at_ = sent_at;
  holder_version_ = holder_version;
  renewal_unchanged_since_.reset();
}

support::task<> table_lease::renew() {
  table::transaction change;
  change.checks.push_back(ownership_check());
  change.writes.push_back({renewal_key(pool_), random_.identifier()});
  const auto sent_at = time_.now();
  try {
    const table::commit_result result = co_await store_.commit(std::move(change));
    if (result.committed)
      term_started_at_ = std::max(term_started_at_, sent_at);
    else
      is_holder_ = false;
  } catch (const table::store_error&) {
    // The term still counts from the last renewal that is known to be written.
  }
}

support::task<> table_lease::release() {
  if (!std::exchange(is_holder_, false))
    co_return;
  const holder_row released_row{node_, number_, random_.identifier(), true};
  table::transaction change;
  change.checks.push_back(ownership_check());
  change.writes.push_back({holder_key(pool_), released_row.to_json()});
  try {
    co_await store_.commit(std::move(change));
  } catch (const table::store_error&) {
    // The next holder has to wait for the term to expire instead.
  }
}

} // namespace camphorlug::groups
