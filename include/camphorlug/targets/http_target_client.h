#pragma once

#include "camphorlug/targets/target_client.h"

namespace camphorlug::targets {

/// Accesses targets through the HTTP APIs of model engines and plain services.
class http_target_client final : public target_client {
public:
  explicit http_target_client(net::http_client& client);

  support::task<instance_report> report(std::string address,
                                        std::chrono::nanoseconds timeout) override;
  support::task<bool> healthy(std::string address, std::chrono::nanoseconds timeout) override;
  support::task<order_result> order(std::string address, instance_order instruction,
                                    std::chrono::nanoseconds timeout,
                                    std::function<bool()> still_allowed) override;
  std::unique_ptr<net::http_exchange> open(net::client_request request) override;

private:
  net::http_client& client_;
};

} // namespace camphorlug::targets
