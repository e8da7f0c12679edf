#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/table/transaction.h"

#include <cstdint>
#include <string>

namespace camphorlug::groups {

/// The right to plan for one pool, held by at most one node at a time.
class lease {
public:
  lease() = default;
  lease(const lease&) = delete;
  lease& operator=(const lease&) = delete;
  virtual ~lease() = default;

  /// Takes the lease if it is free or was not renewed for its term; returns
  /// whether it is held. Call it once a second while it is not.
  virtual support::task<bool> try_acquire() = 0;

  /// Extends the term. Call it a few times within each term.
  virtual support::task<> renew() = 0;

  /// Gives it up so that another node need not wait for the term.
  virtual support::task<> release() = 0;

  /// Whether this node may act now, by its own clock and with a margin.
  virtual bool held() const = 0;

  /// Number of this holding; larger than that of each earlier one.
  virtual std::uint64_t number() const = 0;

  /// Holds in a transaction only while nobody else took the lease.
  virtual table::row_check ownership_check() const = 0;

  /// The node that held it when it was last read; for operators.
  virtual std::string last_holder() const = 0;
};

} // namespace camphorlug::groups
