#include "camphorlug/table/row_cache.h"

#include "camphorlug/support/digest.h"

#include <algorithm>

namespace camphorlug::table {

static std::uint64_t row_fingerprint(const row& entry) {
  return support::fast_hash(entry.key, entry.version);
}

bool row_cache::update_if_newer(row candidate) {
  row& cached = rows_[candidate.key];
  if (candidate.version <= cached.version)
    return false;
  std::uint64_t difference = cached.version == 0 ? 0 : row_fingerprint(cached);
  cached = std::move(candidate);
  difference ^= row_fingerprint(cached);
  fingerprint_ ^= difference;
  buckets_[bucket_of(cached.key)] ^= difference;
  const row changed = cached;
  for (const listener& on_change : listeners_)
    on_change(changed);
  return true;
}

const row* row_cache::find(std::string_view key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

std::vector<const row*> row_cache::find_by_prefix(std::string_view prefix) const {
  std::vector<const row*> matches;
  for (auto entry = rows_.lower_bound(prefix);
       entry != rows_.end() && entry->first.starts_with(prefix); ++entry)
    matches.push_back(&entry->second);
  return matches;
}

std::size_t row_cache::bucket_of(std::string_view key) {
  return support::fast_hash(key) % bucket_count;
}

std::vector<std::uint64_t> row_cache::bucket_fingerprints() const {
  return {buckets_.begin(), buckets_.end()};
}

std::uint64_t row_cache::newest_version(std::string_view prefix) const {
  std::uint64_t newest = 0;
  for (const row* each : find_by_prefix(prefix))
    newest = std::max(newest, each->version);
  return newest;
}

void row_cache::add_listener(listener on_change) {
  listeners_.push_back(std::move(on_change));
}

} // namespace camphorlug::table
