#include "camphorlug/net/header_list.h"

#include <strings.h>

namespace camphorlug::net {

bool same_header_name(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void header_list::add(std::string name, std::string value) {
  headers_.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> header_list::find(std::string_view name) const {
  for (const header& entry : headers_) {
    if (same_header_name(entry.name, name))
      return entry.value;
  }
  return std::nullopt;
}

} // namespace camphorlug::net
