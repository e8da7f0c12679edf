#include "camphorlug/gateway/fleet_size.h"

#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

void to_json(nlohmann::json& value, const fleet_size& size) {
  value = {size.nodes, size.age.count()};
}

void from_json(const nlohmann::json& value, fleet_size& size) {
  value.at(0).get_to(size.nodes);
  size.age = std::chrono::milliseconds(value.at(1).get<std::int64_t>());
}

} // namespace camphorlug::gateway
