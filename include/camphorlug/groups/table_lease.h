#pragma once

#include "camphorlug/groups/lease.h"
#include "camphorlug/support/clock.h"
#include "camphorlug/support/random_source.h"
#include "camphorlug/table/table_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphorlug::groups {

/// Timing of a lease.
struct lease_timing {
  /// Validity of the lease, counted from the sending of the last successful renewal.
  std::chrono::milliseconds term{6000};
  /// The holder stops acting this long before its term ends.
  std::chrono::milliseconds margin{1000};
};

/// A lease in two rows of the table service. `pool/P/holder` changes only when
/// the lease is acquired or released, so that transactions can check its version;
/// `pool/P/renewal` changes with each renewal.
///
/// The clocks of different nodes are never compared. Unless the lease was released,
/// a candidate takes it over only after it has seen the renewal row unchanged for a
/// full term.
///
/// The store may be restored from an older copy and is then in a new era (store_version.h). Each
/// era has rows of its own, so no transaction of an earlier era affects the lease of this one.
/// The node that holds the lease takes the new era's at once; another one waits for a full term
/// after it learned of the era, because it cannot know who held the lease before. The era is the
/// high part of the lease number, since numbers of the lost rows may be in use.
class table_lease final : public lease {
public:
  table_lease(table::table_store& store, support::clock& time, support::random_source& random,
              std::string pool, std::string node, lease_timing timing = {});

  support::task<bool> try_acquire() override;
  support::task<> renew() override;
  support::task<> release() override;
  bool held() const override;
  std::uint64_t number() const override { return number_; }
  table::row_check ownership_check() const override;
  std::string last_holder() const override { return last_holder_; }
  bool is_first_term() const override { return is_first_term_; }

  /// Tells that the store has reached `era`; this node may have learned it from a peer.
  void observe_era(std::uint64_t era);

private:
  struct lease_rows;
  support::task<lease_rows> read_rows();
  /// Takes the lease of a new era while this node still holds that of an earlier one.
  support::task<> take_in_new_era();
  bool is_in_new_era() const;
  /// Whether no node has ever held the lease.
  bool is_first(const lease_rows& rows) const;
  bool is_free(const lease_rows& rows) const;
  support::task<bool> take_over(lease_rows rows);
  support::task<bool> confirm_takeover(std::string attempt, support::clock::time_point sent_at);
  void start_term(support::clock::time_point sent_at, std::uint64_t holder_version);

  table::table_store& store_;
  support::clock& time_;
  support::random_source& random_;
  std::string pool_;
  std::string node_;
  lease_timing timing_;
  std::string last_holder_;

  bool is_holder_ = false;
  support::clock::time_point term_started_at_;
  std::uint64_t number_ = 0;
  std::uint64_t holder_version_ = 0;
  bool is_first_term_ = false;

  /// The era of the store; nullopt before the first answer.
  std::optional<std::uint64_t> era_;
  /// Whether the store has entered a new era since the first answer.
  bool has_seen_new_era_ = false;
  std::uint64_t seen_renewal_version_ = 0;
  std::optional<support::clock::time_point> renewal_unchanged_since_;
};

} // namespace camphorlug::groups
