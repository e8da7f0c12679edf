#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/table/instance_list.h"

#include <string>

namespace camphorlug::table {

/// Reads the instance list through the platform's HTTP API.
class http_instance_list final : public instance_list {
public:
  http_instance_list(net::http_client& client, std::string address);

  support::task<std::vector<listed_instance>> list() override;

private:
  net::http_client& client_;
  std::string address_;
};

} // namespace camphorlug::table
