#pragma once

#include "camphorlug/support/task.h"
#include "camphorlug/table/commit_result.h"
#include "camphorlug/table/row.h"
#include "camphorlug/table/transaction.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorlug::table {

/// The platform's transactional table service.
class table_store {
public:
  table_store() = default;
  table_store(const table_store&) = delete;
  table_store& operator=(const table_store&) = delete;
  virtual ~table_store() = default;

  /// Reads the row with `key` by scanning for it as a prefix. Throws store_error.
  support::task<std::optional<row>> read(std::string key);

  /// Reads all rows whose keys start with `prefix`, in key order. Throws store_error.
  virtual support::task<std::vector<row>> scan(std::string prefix) = 0;

  /// Commits a transaction. Throws store_error; see `may_have_committed`. A check of a version
  /// from an earlier era fails.
  virtual support::task<commit_result> commit(transaction change) = 0;

  /// Returns the highest era (store_version.h) that an answer of the store has borne; 0 if the
  /// store reports none.
  virtual std::uint64_t era() const { return 0; }
};

} // namespace camphorlug::table
