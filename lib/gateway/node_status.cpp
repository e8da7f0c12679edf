#include "camphorlug/gateway/node_status.h"

#include "camphorlug/support/unknown_fields.h"

#include <nlohmann/json.hpp>

namespace camphorlug::gateway {

static constexpr std::size_t element_count = 13;

// An array in place of an object, because lists of all nodes cross data centres.
void to_json(nlohmann::json& value, const node_status& status) {
  value = nlohmann::json::array({status.id, status.data_centre, status.public_address,
                                 status.peer_address, status.incarnation, status.revision,
                                 status.cores, status.ready, status.leaving, status.reaches_store,
                                 status.reaches_targets, status.protocol, status.shows_store});
  support::write_unknown_elements(value, status.unknown_elements);
}

void from_json(const nlohmann::json& value, node_status& status) {
  value.at(0).get_to(status.id);
  value.at(1).get_to(status.data_centre);
  value.at(2).get_to(status.public_address);
  value.at(3).get_to(status.peer_address);
  value.at(4).get_to(status.incarnation);
  value.at(5).get_to(status.revision);
  value.at(6).get_to(status.cores);
  value.at(7).get_to(status.ready);
  value.at(8).get_to(status.leaving);
  value.at(9).get_to(status.reaches_store);
  // Nodes of an earlier version do not report it.
  status.protocol = value.size() < 12 ? 0 : value.at(11).get<int>();
  status.reaches_targets = value.size() < 11 || value.at(10).get<bool>();
  status.shows_store = value.size() >= 13 && value.at(12).get<bool>();
  status.unknown_elements = support::read_unknown_elements(value, element_count);
}

} // namespace camphorlug::gateway
