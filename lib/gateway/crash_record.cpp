#include "camphorlug/gateway/crash_record.h"

#include "camphorlug/gateway/request_identity.h"

namespace camphorlug::gateway {

crash_cause make_cause(const std::string& service, const std::string& id) {
  return {is_request_identity(id) ? "" : service, id};
}

bool crash_record::accuses(const crash_cause& accused) const {
  if (cause(accused.id) != accused)
    return false;
  const auto suspect = suspects.find(accused.id);
  return suspect != suspects.end() && !suspect->second.cleared;
}

} // namespace camphorlug::gateway
