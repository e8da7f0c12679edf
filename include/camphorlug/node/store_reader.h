#pragma once

#include "camphorlug/node/isolation_monitor.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/table/row_cache.h"
#include "camphorlug/table/table_store.h"

#include <functional>

namespace camphorlug::node {

/// Polls the store once a second for changed document and group rows, while this node is
/// one of its data centre's readers, and reads into the row cache the rows that gossip has not
/// delivered.
class store_reader {
public:
  store_reader(support::clock& time, table::table_store& store, table::row_cache& rows,
               isolation_monitor& isolation, std::function<bool()> is_reader);

  /// Runs until the clock is shut down.
  support::task<> run();

  bool has_read() const { return has_read_; }

private:
  support::task<> read_all();
  support::task<> read_changes();
  support::task<> read_prefix(std::string prefix);

  support::clock& time_;
  table::table_store& store_;
  table::row_cache& rows_;
  isolation_monitor& isolation_;
  std::function<bool()> is_reader_;
  bool has_read_ = false;
  support::clock::time_point last_full_read_at_;
};

} // namespace camphorlug::node
