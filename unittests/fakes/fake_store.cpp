#include "fakes/fake_store.h"

#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

#include <algorithm>

namespace camphorlug::fakes {

support::task<> fake_store::simulate_transfer() {
  co_await time_.sleep_for(table_.delay);
  if (cut && kind == store_cut::silent)
    co_await time_.sleep_for(store_call_timeout - table_.delay);
  if (cut || table_.down)
    throw table::store_error("down", false);
}

support::task<std::vector<table::row>> fake_store::scan(std::string prefix) {
  co_await simulate_transfer();
  if (!table_.unreadable_prefix.empty() && prefix.starts_with(table_.unreadable_prefix))
    throw table::store_error("unreadable", false);
  ++table_.reads;
  const std::uint64_t era = table_.era;
  std::vector<table::row> rows = table_.rows.scan(prefix);
  for (table::row& each : rows)
    each.version = table::make_version(era, each.version);
  co_await time_.sleep_for(table_.answer_delay);
  era_ = std::max(era_, era);
  co_return rows;
}

static bool has_check_of_other_era(const table::transaction& change, std::uint64_t era) {
  return std::any_of(change.checks.begin(), change.checks.end(), [&](const auto& check) {
    return check.version != 0 && table::era_of(check.version) != era;
  });
}

support::task<table::commit_result> fake_store::commit(table::transaction change) {
  if (has_check_of_other_era(change, era_))
    co_return table::commit_result{};
  co_await simulate_transfer();
  ++table_.commits;
  if (table_.before_commit)
    table_.before_commit(change);
  const std::uint64_t era = table_.era;
  const bool sent_in_other_era = has_check_of_other_era(change, era);
  // The service compares numbers alone.
  for (table::row_check& check : change.checks)
    check.version = table::number_of(check.version);
  table::commit_result result = table_.rows.commit(change);
  if (result.committed)
    result.version = table::make_version(era, result.version);
  for (table::row& each : result.current)
    each.version = table::make_version(era, each.version);
  co_await time_.sleep_for(table_.delay);
  if (table_.commit_answers_to_drop > 0) {
    --table_.commit_answers_to_drop;
    throw table::store_error("answer lost", true);
  }
  era_ = std::max(era_, era);
  if (result.committed && sent_in_other_era)
    throw table::store_error("new era", true);
  co_return result;
}

} // namespace camphorlug::fakes
