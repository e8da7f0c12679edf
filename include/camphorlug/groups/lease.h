#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/table/transaction.h"

#include <cstdint>
#include <string>

namespace camphorlug::groups {

/// The exclusive right to plan for one pool. At most one node holds it at a time.
class lease {
public:
  lease() = default;
  lease(const lease&) = delete;
  lease& operator=(const lease&) = delete;
  virtual ~lease() = default;

  /// Acquires the lease if it is free or has not been renewed for a full term.
  /// Returns whether this node holds it. Call at least once a second while it does not.
  virtual support::task<bool> try_acquire() = 0;

  /// Extends the term. Call several times within each term.
  virtual support::task<> renew() = 0;

  /// Releases the lease so that another node can acquire it without waiting for
  /// the term to expire.
  virtual support::task<> release() = 0;

  /// Returns whether this node may act as holder now, according to its own clock
  /// and with a safety margin before the end of the term.
  virtual bool held() const = 0;

  /// Returns the sequence number of this acquisition, which is larger than that of
  /// every earlier one, also of those that the store lost. It forms the high bits of the fencing
  /// numbers of orders.
  virtual std::uint64_t number() const = 0;

  /// Returns whether no node had held the lease before this acquisition.
  virtual bool is_first_term() const = 0;

  /// Returns a transaction check that fails once another node has acquired the
  /// lease.
  virtual table::row_check ownership_check() const = 0;

  /// Returns the holder as of the last read, for operators.
  virtual std::string last_holder() const = 0;
};

} // namespace camphorlug::groups
