#include "camphorlug/net/server_request.h"

namespace camphorlug::net {

std::optional<std::string> server_request::query_value(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return std::string(pair.substr(equals + 1));
  }
  return std::nullopt;
}

} // namespace camphorlug::net
