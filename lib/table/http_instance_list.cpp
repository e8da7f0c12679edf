#include "camphorlug/table/http_instance_list.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/table/store_error.h"

#include <nlohmann/json.hpp>

namespace camphorlug::table {

static constexpr std::chrono::milliseconds list_timeout{2000};

static instance_role parse_role(const std::string& name) {
  if (name == "entry")
    return instance_role::entry;
  return name == "plain" ? instance_role::plain : instance_role::runner;
}

static listed_instance parse_instance(const nlohmann::json& entry) {
  listed_instance instance;
  instance.id = entry.at("id");
  instance.address = entry.at("address");
  instance.data_centre = entry.at("data_centre");
  instance.fabric_domain = entry.value("fabric_domain", "");
  instance.pool = entry.value("pool", "");
  instance.role = parse_role(entry.at("role"));
  instance.leaving = entry.value("leaving", false);
  return instance;
}

http_instance_list::http_instance_list(net::http_client& client, std::string address)
    : client_(client), address_(std::move(address)) {}

support::task<std::vector<listed_instance>> http_instance_list::list() {
  net::client_request request;
  request.address = address_;
  request.target = "/v1/instances";
  request.connection = net::connection_use::pooled;
  request.limits = net::response_limits::bulk();
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), list_timeout);
    if (response.status != 200)
      throw store_error("instance list returned HTTP status " + std::to_string(response.status),
                        false);
    std::vector<listed_instance> instances;
    const auto document = nlohmann::json::parse(response.body);
    for (const auto& entry : document.at("instances"))
      instances.push_back(parse_instance(entry));
    co_return instances;
  } catch (const net::transport_error& error) {
    throw store_error(error.what(), false);
  } catch (const nlohmann::json::exception& error) {
    throw store_error(error.what(), false);
  }
}

} // namespace camphorlug::table
