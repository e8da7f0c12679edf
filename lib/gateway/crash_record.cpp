#include "camphorlug/gateway/crash_record.h"

namespace camphorlug::gateway {

bool crash_record::accuses(const crash_cause& part) const {
  if (service != part.service)
    return false;
  const auto suspect = suspects.find(part.id);
  return suspect != suspects.end() && !suspect->second.cleared;
}

} // namespace camphorlug::gateway
