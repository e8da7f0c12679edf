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

/// The newest version of each row that this node has seen, from the table
/// service or from a peer. A row only ever goes forward.
class row_cache {
public:
  static constexpr std::size_t bucket_count = 32;

  /// Called after a row went forward.
  using listener = std::function<void(const row&)>;

  /// Takes `candidate` if it is newer than what is held; returns whether it was.
  bool update_if_newer(row candidate);

  /// The row under `key`, or null.
  const row* find(std::string_view key) const;

  /// The rows whose key begins with `prefix`, in the order of their keys.
  std::vector<const row*> find_by_prefix(std::string_view prefix) const;

  /// The largest version of the rows whose key begins with `prefix`; 0 without any.
  std::uint64_t newest_version(std::string_view prefix) const;

  const std::map<std::string, row, std::less<>>& rows() const { return rows_; }

  /// A hash of all keys and versions: equal for equal contents, whatever the
  /// order in which they came.
  std::uint64_t fingerprint() const { return fingerprint_; }

  /// The same by bucket, so that two caches find what differs with few bytes.
  std::vector<std::uint64_t> bucket_fingerprints() const;

  /// The bucket that a key belongs to.
  static std::size_t bucket_of(std::string_view key);

  void add_listener(listener on_change);

private:
  std::map<std::string, row, std::less<>> rows_;
  std::vector<listener> listeners_;
  std::uint64_t fingerprint_ = 0;
  std::array<std::uint64_t, bucket_count> buckets_{};
};

} // namespace camphorlug::table
