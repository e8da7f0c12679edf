#include "camphorlug/targets/http_target_client.h"

#include "camphorlug/net/transport_error.h"
#include "camphorlug/support/json_text.h"

#include <nlohmann/json.hpp>

namespace camphorlug::targets {

static instance_report parse_report(const std::string& body) {
  const auto value = nlohmann::json::parse(body);
  instance_report report;
  report.instance = value.at("instance");
  report.incarnation = value.at("incarnation");
  report.group = value.value("group", "");
  report.number = value.value("number", std::uint64_t{0});
  report.rank = value.value("rank", std::size_t{0});
  report.model = value.value("model", "");
  report.version = value.value("version", "");
  report.ready = value.value("ready", false);
  report.leaving = value.value("leaving", false);
  report.running = value.value("running", std::size_t{0});
  report.waiting = value.value("waiting", std::size_t{0});
  return report;
}

static const char* action_name(order_action action) {
  switch (action) {
  case order_action::join:
    return "join";
  case order_action::prepare:
    return "prepare";
  case order_action::release:
    return "release";
  }
  return "release";
}

static std::string to_body(const instance_order& order) {
  nlohmann::json body{{"action", action_name(order.action)},
                      {"group", order.group},
                      {"number", order.number},
                      {"rank", order.rank},
                      {"members", nlohmann::json::array()},
                      {"model", order.model},
                      {"version", order.version}};
  for (const group_member& member : order.members)
    body["members"].push_back({{"instance", member.instance}, {"address", member.address}});
  return support::to_json_text(body);
}

http_target_client::http_target_client(net::http_client& client) : client_(client) {}

support::task<instance_report> http_target_client::report(std::string address,
                                                          std::chrono::nanoseconds timeout) {
  net::client_request request;
  request.address = std::move(address);
  request.target = "/v1/report";
  request.connection = net::connection_use::pooled;
  const net::client_response response = co_await client_.fetch(std::move(request), timeout);
  try {
    co_return parse_report(response.body);
  } catch (const nlohmann::json::exception& error) {
    throw net::transport_error(net::request_progress::may_have_been_read, false, error.what());
  }
}

support::task<bool> http_target_client::healthy(std::string address,
                                                std::chrono::nanoseconds timeout) {
  net::client_request request;
  request.address = std::move(address);
  request.target = "/healthz";
  request.connection = net::connection_use::pooled;
  const net::client_response response = co_await client_.fetch(std::move(request), timeout);
  co_return response.status == 200;
}

support::task<order_result> http_target_client::order(std::string address,
                                                      instance_order instruction,
                                                      std::chrono::nanoseconds timeout,
                                                      std::function<bool()> still_allowed) {
  net::client_request request;
  request.method = "POST";
  request.send_if = std::move(still_allowed);
  request.address = std::move(address);
  request.target = "/v1/orders";
  request.body = to_body(instruction);
  const net::client_response response = co_await client_.fetch(std::move(request), timeout);
  if (response.status == 200)
    co_return order_result::accepted;
  co_return response.status == 409 ? order_result::refused_stale_number : order_result::refused;
}

std::unique_ptr<net::http_exchange> http_target_client::open(net::client_request request) {
  return client_.open(std::move(request));
}

} // namespace camphorlug::targets
