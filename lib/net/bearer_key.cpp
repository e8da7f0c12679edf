#include "camphorlug/net/bearer_key.h"

namespace camphorlug::net {

std::optional<std::string> bearer_key(const header_list& headers) {
  static constexpr std::string_view scheme = "Bearer ";
  const std::optional<std::string> authorization = headers.find("Authorization");
  if (!authorization || !authorization->starts_with(scheme))
    return std::nullopt;
  return authorization->substr(scheme.size());
}

} // namespace camphorlug::net
