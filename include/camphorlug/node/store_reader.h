#pragma once

#include "camphorlug/node/isolation_monitor.h"
#include "camphorlug/platform/row_cache.h"
#include "camphorlug/platform/table_store.h"
#include "camphorlug/support/clock.h"

#include <functional>

namespace camphorlug::node {

/// Reads the document and group rows into the row cache once a second, as long
/// as this node is one of its data centre's readers.
class store_reader {
public:
  store_reader(support::clock& time, platform::table_store& store, platform::row_cache& rows,
               isolation_monitor& isolation, std::function<bool()> is_reader);

  /// Runs until the clock is shut down.
  support::task<> run();

  bool has_read() const { return has_read_; }

private:
  support::task<> read();

  support::clock& time_;
  platform::table_store& store_;
  platform::row_cache& rows_;
  isolation_monitor& isolation_;
  std::function<bool()> is_reader_;
  bool has_read_ = false;
};

} // namespace camphorlug::node
