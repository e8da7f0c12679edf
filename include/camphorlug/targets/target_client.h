#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/targets/instance_order.h"
#include "camphorlug/targets/instance_report.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::targets {

/// The way by which a node speaks to target instances.
class target_client {
public:
  target_client() = default;
  target_client(const target_client&) = delete;
  target_client& operator=(const target_client&) = delete;
  virtual ~target_client() = default;

  /// Asks the runner at `address` for its report. Throws net::transport_error.
  virtual support::task<instance_report> report(std::string address,
                                                std::chrono::nanoseconds timeout) = 0;

  /// Asks the plain service's instance at `address` whether it is healthy.
  /// Throws net::transport_error.
  virtual support::task<bool> healthy(std::string address, std::chrono::nanoseconds timeout) = 0;

  /// Sends an order if `still_allowed` holds once the connection stands. Throws
  /// net::transport_error; unless it says not_sent the order may have been obeyed.
  virtual support::task<order_result> order(std::string address, instance_order what,
                                            std::chrono::nanoseconds timeout,
                                            std::function<bool()> still_allowed) = 0;

  /// Starts a caller's request or its resumption at a target.
  virtual std::unique_ptr<net::http_exchange> open(net::client_request request) = 0;
};

} // namespace camphorlug::targets
