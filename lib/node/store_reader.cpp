#include "camphorlug/node/store_reader.h"

#include "camphorlug/documents/cached_documents.h"
#include "camphorlug/groups/row_keys.h"
#include "camphorlug/platform/store_error.h"

namespace camphorlug::node {

static constexpr std::chrono::seconds read_interval{1};

store_reader::store_reader(support::clock& time, platform::table_store& store,
                           platform::row_cache& rows, isolation_monitor& isolation,
                           std::function<bool()> is_reader)
    : time_(time), store_(store), rows_(rows), isolation_(isolation),
      is_reader_(std::move(is_reader)) {}

support::task<> store_reader::run() {
  for (;;) {
    if (!has_read_ || is_reader_())
      co_await read();
    co_await time_.sleep_for(read_interval);
  }
}

support::task<> store_reader::read() {
  try {
    for (const char* prefix : {documents::document_prefix, groups::group_prefix}) {
      const std::vector<platform::row> found = co_await store_.scan(prefix);
      for (const platform::row& row : found)
        rows_.take(row);
    }
    has_read_ = true;
    isolation_.store_answered();
  } catch (const platform::store_error&) {
    // What is known stays in force; peers bring what is new.
  }
}

} // namespace camphorlug::node
