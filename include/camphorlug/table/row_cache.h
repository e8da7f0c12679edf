#pragma once

#include "camphorlug/table/row.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorlug::table {

/// The newest version of each row that this node has received from the table
/// service or from a peer. A row's version never decreases.
class row_cache {
public:
  static constexpr std::size_t bucket_count = 32;

  /// Called after a row was replaced by a newer version.
  using listener = std::function<void(const row&)>;

  /// Stores `candidate` if it is newer than the cached row; returns whether it was.
  bool update_if_newer(row candidate);

  /// Returns the row with `key`, or null.
  const row* find(std::string_view key) const;

  /// Returns the rows whose keys start with `prefix`, in key order.
  std::vector<const row*> find_by_prefix(std::string_view prefix) const;

  /// Returns the largest version among the rows whose keys start with `prefix`, or 0
  /// if there are none.
  std::uint64_t newest_version(std::string_view prefix) const;

  const std::map<std::string, row, std::less<>>& rows() const { return rows_; }

  /// A hash of all keys and versions that does not depend on the insertion order.
  std::uint64_t fingerprint() const { return fingerprint_; }

  /// One such hash per bucket, so that two nodes find their differences by
  /// exchanging a few bytes.
  std::vector<std::uint64_t> bucket_fingerprints() const;

  /// Returns the index of the bucket that holds `key`.
  static std::size_t bucket_of(std::string_view key);

  void add_listener(listener on_change);

private:
  std::map<std::string, row, std::less<>> rows_;
  std::vector<listener> listeners_;
  std::uint64_t fingerprint_ = 0;
  std::array<std::uint64_t, bucket_count> buckets_{};
};

} // namespace camphorlug::table
