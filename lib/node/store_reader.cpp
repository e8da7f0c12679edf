#include "camphorlug/node/store_reader.h"

#include "camphorlug/documents/document_cache.h"
#include "camphorlug/groups/row_keys.h"
#include "camphorlug/table/change_index.h"
#include "camphorlug/table/store_error.h"

namespace camphorlug::node {

static constexpr std::chrono::seconds read_interval{1};
/// All rows are reread this often, in case both polling and gossip missed a change.
static constexpr std::chrono::minutes full_read_interval{10};

store_reader::store_reader(support::clock& time, table::table_store& store, table::row_cache& rows,
                           isolation_monitor& isolation, std::function<bool()> is_reader)
    : time_(time), store_(store), rows_(rows), isolation_(isolation),
      is_reader_(std::move(is_reader)) {}

support::task<> store_reader::run() {
  for (;;) {
    if (!has_read_ || is_reader_()) {
      try {
        if (!has_read_ || time_.now() - last_full_read_at_ > full_read_interval)
          co_await read_all();
        else
          co_await read_changes();
        isolation_.record_store_response();
      } catch (const table::store_error&) {
        // Keep using the cached rows; changes still arrive by gossip.
      }
    }
    co_await time_.sleep_for(read_interval);
  }
}

support::task<> store_reader::read_prefix(std::string prefix) {
  const std::vector<table::row> found = co_await store_.scan(std::move(prefix));
  for (const table::row& row : found)
    rows_.update_if_newer(row);
}

support::task<> store_reader::read_all() {
  const auto started_at = time_.now();
  co_await read_prefix(documents::document_prefix);
  co_await read_prefix(groups::group_prefix);
  has_read_ = true;
  last_full_read_at_ = started_at;
}

support::task<> store_reader::read_changes() {
  const std::string index(table::index_prefix);
  const std::vector<table::row> changes = co_await store_.scan(index);
  for (const table::row& change : changes) {
    std::string prefix = table::indexed_prefix(change.key);
    // The row of the newest commit suffices: a node that has it receives the rows of earlier
    // commits by gossip too.
    if (rows_.newest_version(prefix) < change.version)
      co_await read_prefix(std::move(prefix));
  }
}

} // namespace camphorlug::node
