#include "camphorlug/table/table_store.h"

namespace camphorlug::table {

support::task<std::optional<row>> table_store::read(std::string key) {
  const std::vector<row> rows = co_await scan(key);
  for (const row& entry : rows) {
    if (entry.key == key)
      co_return entry;
  }
  co_return std::nullopt;
}

} // namespace camphorlug::table
