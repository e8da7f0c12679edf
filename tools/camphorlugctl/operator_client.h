#pragma once

#include "camphorlug/net/http_client.h"

#include <nlohmann/json.hpp>
#include <string>

namespace camphorlug::ctl {

/// A response of the operator port.
struct operator_response {
  /// 0 when the node did not respond, or with 200 and no JSON object.
  int status = 0;
  nlohmann::ordered_json body;
};

/// HTTP client for the operator port of one node.
class operator_client {
public:
  operator_client(net::http_client& client, std::string address, std::string key);

  support::task<operator_response> call(std::string method, std::string path,
                                        std::string body = "");

private:
  net::http_client& client_;
  std::string address_;
  std::string key_;
};

} // namespace camphorlug::ctl
