#pragma once

#include "camphorlug/table/commit_result.h"
#include "camphorlug/table/row.h"
#include "camphorlug/table/transaction.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::standins {

/// Table of versioned rows with conditional multi-row transactions.
class row_table {
public:
  std::vector<table::row> scan(const std::string& prefix) const;
  table::commit_result commit(const table::transaction& change);

  /// Returns the committed transactions as a JSON list.
  std::string log() const;

private:
  std::map<std::string, table::row> rows_;
  std::uint64_t commits_ = 0;
  std::vector<std::string> log_;
};

} // namespace camphorlug::standins
