#pragma once

#include "camphorlug/platform/commit_result.h"
#include "camphorlug/platform/row.h"
#include "camphorlug/platform/transaction.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::standins {

/// Versioned rows with conditional transactions over several of them.
class table {
public:
  std::vector<platform::row> scan(const std::string& prefix) const;
  platform::commit_result commit(const platform::transaction& change);

  /// Committed transactions as a JSON list.
  std::string log() const;

private:
  std::map<std::string, platform::row> rows_;
  std::uint64_t commits_ = 0;
  std::vector<std::string> log_;
};

} // namespace camphorlug::standins
