#include "row_table.h"

#include <nlohmann/json.hpp>

namespace camphorlug::standins {

std::vector<table::row> row_table::scan(const std::string& prefix) const {
  std::vector<table::row> found;
  for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix);
       ++row)
    found.push_back(row->second);
  return found;
}

table::commit_result row_table::commit(const table::transaction& change) {
  table::commit_result result;
  result.committed = true;
  for (const table::row_check& check : change.checks) {
    const auto existing = rows_.find(check.key);
    if (existing != rows_.end())
      result.current.push_back(existing->second);
    if ((existing == rows_.end() ? 0 : existing->second.version) != check.version)
      result.committed = false;
  }
  if (!result.committed)
    return result;
  result.current.clear();
  result.version = ++commits_;
  nlohmann::json entry{{"commit", commits_}, {"writes", nlohmann::json::array()}};
  for (const table::row_write& write : change.writes) {
    entry["writes"].push_back(
        {{"key", write.key}, {"value", write.value ? nlohmann::json(*write.value) : nullptr}});
    if (write.value)
      rows_[write.key] = {write.key, *write.value, commits_};
    else
      rows_.erase(write.key);
  }
  log_.push_back(entry.dump());
  return result;
}

std::string row_table::log() const {
  std::string text = "[";
  for (const std::string& entry : log_)
    text += (text.size() > 1 ? ",\n" : "\n") + entry;
  return text + "]\n";
}

} // namespace camphorlug::standins
