#include "camphorlug/table/change_index.h"

namespace camphorlug::table {

row_write make_index_write(std::string_view prefix) {
  return {std::string(index_prefix) + std::string(prefix), std::string("{}")};
}

std::string indexed_prefix(std::string_view index_key) {
  return std::string(index_key.substr(index_prefix.size()));
}

} // namespace camphorlug::table
