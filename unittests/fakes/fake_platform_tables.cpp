#include "fakes/fake_platform_tables.h"

#include "camphorlug/table/store_error.h"

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

support::task<> fake_change_feed::simulate_transfer() {
  ++reads;
  co_await time_.sleep_for(network_delay);
  if (cut)
    throw table::store_error("cut off", false);
}

support::task<table::feed_batch> fake_change_feed::read_all(std::string name) {
  co_await simulate_transfer();
  table::feed_batch batch;
  batch.version = tables_.version;
  for (const auto& [key, row] : tables_.tables[name]) {
    if (!row.deleted)
      batch.rows.push_back(row);
  }
  co_return batch;
}

support::task<table::feed_batch> fake_change_feed::changes(std::string name, std::uint64_t since,
                                                           std::chrono::milliseconds wait) {
  const auto until = time_.now() + wait;
  co_await simulate_transfer();
  for (;;) {
    if (cut)
      throw table::store_error("cut off", false);
    table::feed_batch batch;
    batch.version = tables_.version;
    for (const auto& [key, row] : tables_.tables[name]) {
      if (row.version > since)
        batch.rows.push_back(row);
    }
    if (!batch.rows.empty() || time_.now() >= until)
      co_return batch;
    co_await time_.sleep_for(feed_step);
  }
}

} // namespace camphorlug::fakes
