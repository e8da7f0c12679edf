#include "camphorlug/gateway/request_identity.h"

#include "camphorlug/support/digest.h"

namespace camphorlug::gateway {

static constexpr std::string_view identity_prefix = "request:";

std::string request_identity(const caller_request& request, const std::string& organisation) {
  // Neither a method nor a target contains a line break, so the fields cannot be confused.
  const std::string fields = request.method + "\n" + request.request_target + "\n" +
                             support::sha256_hex(request.body) + "\n" + organisation;
  return std::string(identity_prefix) + support::sha256_hex(fields);
}

bool is_request_identity(std::string_view id) {
  return id.starts_with(identity_prefix);
}

std::vector<std::string> crash_suspects_of(const caller_request& request,
                                           const std::string& organisation) {
  std::vector<std::string> ids = request.prompt_parts;
  std::erase_if(ids, is_request_identity);
  ids.push_back(request_identity(request, organisation));
  return ids;
}

} // namespace camphorlug::gateway
