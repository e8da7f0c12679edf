#include "camphorlug/net/header_list.h"

#include <strings.h>

namespace camphorlug::net {

void header_list::add(std::string name, std::string value) {
  headers_.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> header_list::find(std::string_view name) const {
  for (const header& entry : headers_) {
    if (entry.name.size() == name.size() &&
        strncasecmp(entry.name.data(), name.data(), name.size()) == 0)
      return entry.value;
  }
  return std::nullopt;
}

} // namespace camphorlug::net
