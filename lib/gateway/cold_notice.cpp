#include "camphorlug/gateway/cold_notice.h"

#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

void to_json(nlohmann::json& value, const cold_notice& notice) {
  value = {notice.started_at_ms, notice.remaining.count()};
}

void from_json(const nlohmann::json& value, cold_notice& notice) {
  value.at(0).get_to(notice.started_at_ms);
  notice.remaining = std::chrono::milliseconds(value.at(1).get<std::int64_t>());
}

} // namespace camphorlug::gateway
