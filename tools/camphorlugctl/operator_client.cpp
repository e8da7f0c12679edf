#include "operator_client.h"

#include "camphorlug/net/transport_error.h"

namespace camphorlug::ctl {

static constexpr std::chrono::seconds call_timeout{10};

operator_client::operator_client(net::http_client& client, std::string address, std::string key)
    : client_(client), address_(std::move(address)), key_(std::move(key)) {}

support::task<operator_response> operator_client::call(std::string method, std::string path,
                                                       std::string body) {
  net::client_request request;
  request.method = std::move(method);
  request.address = address_;
  request.target = "/operator/v1/" + path;
  request.body = std::move(body);
  request.headers.add("Authorization", "Bearer " + key_);
  request.limits = net::response_limits::bulk();
  operator_response result;
  try {
    const net::client_response response = co_await client_.fetch(std::move(request), call_timeout);
    result.status = response.status;
    result.body = nlohmann::ordered_json::parse(response.body, nullptr, false);
    // Whatever answered 200 without JSON is not a node.
    if (response.status == 200 && !result.body.is_object()) {
      result.status = 0;
      result.body = {{"detail", "the response is not JSON"}};
    }
  } catch (const net::transport_error& error) {
    result.body["detail"] = error.what();
  }
  co_return result;
}

} // namespace camphorlug::ctl
