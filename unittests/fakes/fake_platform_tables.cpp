#include "fakes/fake_platform_tables.h"

#include "camphorlug/table/store_error.h"
#include "camphorlug/table/store_version.h"

namespace camphorlug::fakes {

using namespace std::chrono_literals;

static constexpr auto network_delay = 2ms;
static constexpr auto feed_step = 10ms;

void fake_platform_tables::put(const std::string& name, const std::string& key, std::string value) {
  tables[name][key] = {key, std::move(value), ++version, false};
}

void fake_platform_tables::remove(const std::string& name, const std::string& key) {
  tables[name][key] = {key, "", ++version, true};
}

void fake_platform_tables::restore(table_contents copy) {
  table_contents::operator=(std::move(copy));
  ++era;
}

table::feed_batch fake_change_feed::rows_after(const std::string& name, std::uint64_t since) const {
  table::feed_batch batch;
  batch.version = table::make_version(tables_.era, tables_.version);
  const auto found = tables_.tables.find(name);
  if (found == tables_.tables.end())
    return batch;
  for (const auto& [key, row] : found->second) {
    if (row.version > since)
      batch.rows.push_back(
          {row.key, row.value, table::make_version(tables_.era, row.version), row.deleted});
  }
  return batch;
}

support::task<> fake_change_feed::fail(support::clock::time_point begun_at,
                                       std::chrono::milliseconds timeout) {
  if (kind == store_cut::silent)
    co_await time_.sleep_for(begun_at + timeout - time_.now());
  throw table::store_error("cut off", false);
}

support::task<> fake_change_feed::simulate_transfer(std::chrono::milliseconds timeout) {
  const auto begun_at = time_.now();
  ++reads;
  co_await time_.sleep_for(network_delay);
  if (cut)
    co_await fail(begun_at, timeout);
}

support::task<table::feed_batch> fake_change_feed::read_all(std::string name) {
  return read_all_within(std::move(name), store_call_timeout);
}

support::task<table::feed_batch>
fake_change_feed::read_all_within(std::string name, std::chrono::milliseconds timeout) {
  co_await simulate_transfer(timeout);
  table::feed_batch batch = rows_after(name, 0);
  std::erase_if(batch.rows, [](const table::feed_row& row) { return row.deleted; });
  // The answer is on its way while the platform may restore an older copy.
  co_await time_.sleep_for(answer_delay);
  co_return batch;
}

support::task<table::feed_batch> fake_change_feed::changes(std::string name, std::uint64_t since,
                                                           std::chrono::milliseconds wait) {
  const auto begun_at = time_.now();
  const auto until = begun_at + wait;
  co_await simulate_transfer(wait + feed_timeout_margin);
  for (;;) {
    if (cut)
      co_await fail(begun_at, wait + feed_timeout_margin);
    if (tables_.era != table::era_of(since)) {
      table::feed_batch gone;
      gone.version = table::make_version(tables_.era, 0);
      gone.history_truncated = true;
      co_return gone;
    }
    table::feed_batch batch = rows_after(name, table::number_of(since));
    if (!batch.rows.empty() || time_.now() >= until)
      co_return batch;
    co_await time_.sleep_for(feed_step);
  }
}

} // namespace camphorlug::fakes
