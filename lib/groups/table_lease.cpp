#include "camphorlug/groups/table_lease.h"

#include "camphorlug/support/log.h"
#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorlug::groups {

/// Era of a store that was never restored, at most; stores may count from 0 or 1.
static constexpr std::uint64_t max_initial_era = 1;
/// Bits of a lease number below the era.
static constexpr unsigned term_bits = 20;

static std::string row_prefix(const std::string& pool, std::uint64_t era) {
  const std::string prefix = "pool/" + pool + "/";
  return era == 0 ? prefix : prefix + "era-" + std::to_string(era) + "/";
}

static std::string holder_key(const std::string& pool, std::uint64_t era) {
  return row_prefix(pool, era) + "holder";
}

static std::string renewal_key(const std::string& pool, std::uint64_t era) {
  return row_prefix(pool, era) + "renewal";
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
  /// The era of the store, to which the following rows belong.
  std::uint64_t era = 0;
  holder_row holder;
  std::uint64_t holder_version = 0;
  std::uint64_t renewal_version = 0;
  /// The highest number in the holder rows of all eras; 0 if there are none.
  std::uint64_t highest_number = 0;
  /// Keys of rows of earlier eras.
  std::vector<std::string> outdated_keys;
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
  return {holder_key(pool_, table::era_of(holder_version_)), holder_version_};
}

void table_lease::observe_era(std::uint64_t era) {
  if (era_ && era <= *era_)
    return;
  if (era_) {
    has_seen_new_era_ = true;
    // The holder in the earlier era, if any, last renewed its term before the store was restored.
    renewal_unchanged_since_ = time_.now();
    seen_renewal_version_ = 0;
  }
  era_ = era;
}

bool table_lease::is_in_new_era() const {
  return std::max(store_.era(), era_.value_or(0)) > table::era_of(holder_version_);
}

support::task<table_lease::lease_rows> table_lease::read_rows() {
  lease_rows rows;
  const auto found = co_await store_.scan(row_prefix(pool_, 0));
  observe_era(store_.era());
  rows.era = *era_;
  const std::string own_holder_key = holder_key(pool_, rows.era);
  const std::string own_renewal_key = renewal_key(pool_, rows.era);
  for (const table::row& row : found) {
    if (table::era_of(row.version) != rows.era)
      throw table::store_error("the answer is from an earlier era", /*may_have_committed=*/false);
    if (row.key.ends_with("/holder")) {
      const holder_row holder = holder_row::from_json(row.value);
      rows.highest_number = std::max(rows.highest_number, holder.number);
      last_holder_ = holder.node;
    }
    if (row.key == own_holder_key) {
      rows.holder = holder_row::from_json(row.value);
      rows.holder_version = row.version;
    } else if (row.key == own_renewal_key) {
      rows.renewal_version = row.version;
    } else if (row.key.ends_with("/holder") || row.key.ends_with("/renewal")) {
      rows.outdated_keys.push_back(row.key);
    }
  }
  if (rows.holder_version != 0)
    last_holder_ = rows.holder.node;
  co_return rows;
}

bool table_lease::is_first(const lease_rows& rows) const {
  return rows.era <= max_initial_era && !has_seen_new_era_ && rows.highest_number == 0 &&
         number_ == 0;
}

/// Without a row of this era, a row of an earlier one may have been lost.
bool table_lease::is_free(const lease_rows& rows) const {
  return rows.holder_version != 0 ? rows.holder.released : is_first(rows);
}

support::task<bool> table_lease::try_acquire() {
  is_holder_ = false;
  const auto read_at = time_.now();
  try {
    const lease_rows rows = co_await read_rows();
    if (!renewal_unchanged_since_ || rows.renewal_version != seen_renewal_version_) {
      seen_renewal_version_ = rows.renewal_version;
      renewal_unchanged_since_ = time_.now();
    }
    // The row is known to be unchanged only up to the time the read was sent.
    if (!is_free(rows) && read_at - *renewal_unchanged_since_ < timing_.term)
      co_return false;
    co_return co_await take_over(rows);
  } catch (const table::store_error&) {
    co_return false;
  }
}

support::task<bool> table_lease::take_over(lease_rows rows) {
  const std::uint64_t highest_number = std::max(rows.highest_number, number_);
  const bool first = is_first(rows);
  const std::uint64_t number = std::max(highest_number, rows.era << term_bits) + 1;
  const holder_row new_row{node_, number, random_.identifier(), false};
  const std::string holder = holder_key(pool_, rows.era);
  const std::string renewal = renewal_key(pool_, rows.era);
  table::transaction change;
  change.checks.push_back({holder, rows.holder_version});
  change.checks.push_back({renewal, rows.renewal_version});
  change.writes.push_back({holder, new_row.to_json()});
  change.writes.push_back({renewal, new_row.attempt});
  for (const std::string& key : rows.outdated_keys)
    change.writes.push_back({key, std::nullopt});
  const auto sent_at = time_.now();
  bool answer_lost = false;
  try {
    const table::commit_result result = co_await store_.commit(std::move(change));
    // Rows of an earlier era than the store's give no right.
    if (!result.committed || table::era_of(result.version) != rows.era)
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
  is_first_term_ = first;
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

support::task<> table_lease::take_in_new_era() {
  try {
    const lease_rows rows = co_await read_rows();
    // Another node may have taken the lease once this node's term was over.
    if (!held() || rows.holder_version != 0) {
      is_holder_ = false;
      co_return;
    }
    co_await take_over(rows);
  } catch (const table::store_error&) {
    // The lease of the earlier era stays valid for the rest of its term.
  }
}

support::task<> table_lease::renew() {
  if (is_in_new_era()) {
    co_await take_in_new_era();
    co_return;
  }
  table::transaction change;
  change.checks.push_back(ownership_check());
  change.writes.push_back(
      {renewal_key(pool_, table::era_of(holder_version_)), random_.identifier()});
  const auto sent_at = time_.now();
  try {
    const table::commit_result result = co_await store_.commit(std::move(change));
    if (result.committed)
      term_started_at_ = std::max(term_started_at_, sent_at);
    else if (!is_in_new_era())
      is_holder_ = false;
  } catch (const table::store_error&) {
    // The term still counts from the last renewal that is known to be written.
  }
  if (is_in_new_era())
    co_await take_in_new_era();
}

support::task<> table_lease::release() {
  if (!std::exchange(is_holder_, false))
    co_return;
  const holder_row released_row{node_, number_, random_.identifier(), true};
  table::transaction change;
  change.checks.push_back(ownership_check());
  change.writes.push_back(
      {holder_key(pool_, table::era_of(holder_version_)), released_row.to_json()});
  try {
    co_await store_.commit(std::move(change));
  } catch (const table::store_error&) {
    // The next holder has to wait for the term to expire instead.
  }
}

} // namespace camphorlug::groups
