#include "camphorlug/table/row_mirror.h"

#include "camphorlug/table/store_version.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace camphorlug::table {

void row_mirror::apply(const feed_batch& batch, bool is_snapshot) {
  if (era_of(batch.version) < era_of(version_))
    return;
  for (const feed_row& row : batch.rows)
    apply(row);
  if (is_snapshot) {
    std::set<std::string> present;
    for (const feed_row& row : batch.rows)
      present.insert(row.key);
    std::vector<std::string> removed_keys;
    for (const auto& [key, row] : rows_) {
      if (!row.deleted && row.version <= batch.version && !present.contains(key))
        removed_keys.push_back(key);
    }
    for (const std::string& key : removed_keys)
      apply(feed_row{key, "", batch.version, true});
  }
  version_ = std::max(version_, batch.version);
}

void row_mirror::apply(const feed_row& row) {
  const auto known = rows_.find(row.key);
  if (known != rows_.end() && row.version < known->second.version)
    return;
  const bool was_deleted = known != rows_.end() && known->second.deleted;
  rows_[row.key] = row;
  newest_row_version_ = std::max(newest_row_version_, row.version);
  if (row.deleted && !was_deleted)
    add_tombstone(row.version, row.key);
}

void row_mirror::add_tombstone(std::uint64_t version, const std::string& key) {
  tombstones_.emplace_back(version, key);
  if (tombstones_.size() <= max_tombstones)
    return;
  const auto [oldest, oldest_key] = tombstones_.front();
  tombstones_.pop_front();
  newest_dropped_tombstone_ = std::max(newest_dropped_tombstone_, oldest);
  const auto known = rows_.find(oldest_key);
  // Keep the row if its key was written again after this deletion.
  if (known != rows_.end() && known->second.deleted && known->second.version <= oldest)
    rows_.erase(known);
}

feed_batch row_mirror::changes(std::uint64_t since) const {
  // A reader from an earlier era may have rows that were lost before this node saw them.
  if (since < newest_dropped_tombstone_ || era_of(since) < era_of(version_))
    return snapshot();
  feed_batch batch;
  batch.version = version_;
  for (const auto& [key, row] : rows_) {
    if (row.version > since)
      batch.rows.push_back(row);
  }
  return batch;
}

feed_batch row_mirror::snapshot() const {
  feed_batch batch;
  batch.version = version_;
  batch.history_truncated = true;
  for (const auto& [key, row] : rows_) {
    if (!row.deleted)
      batch.rows.push_back(row);
  }
  return batch;
}

std::string to_json(const feed_batch& batch) {
  nlohmann::json rows = nlohmann::json::array();
  for (const feed_row& row : batch.rows)
    rows.push_back({row.key, row.version, row.deleted, row.value});
  return nlohmann::json{
      {"version", batch.version}, {"whole", batch.history_truncated}, {"rows", rows}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

feed_batch batch_from_json(const std::string& text) {
  const auto value = nlohmann::json::parse(text);
  feed_batch batch;
  value.at("version").get_to(batch.version);
  value.at("whole").get_to(batch.history_truncated);
  for (const auto& row : value.at("rows"))
    batch.rows.push_back({row.at(0), row.at(3), row.at(1), row.at(2)});
  return batch;
}

} // namespace camphorlug::table
