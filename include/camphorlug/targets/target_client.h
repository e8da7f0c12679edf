#pragma once

#include "camphorlug/net/http_client.h"
#include "camphorlug/targets/instance_order.h"
#include "camphorlug/targets/instance_report.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace camphorlug::targets {

/// Interface through which a node communicates with target instances.
class target_client {
public:
  target_client() = default;
  target_client(const target_client&) = delete;
  target_client& operator=(const target_client&) = delete;
  virtual ~target_client() = default;

  /// Requests the report of the runner at `address`. Throws net::transport_error.
  virtual support::task<instance_report> report(std::string address,
                                                std::chrono::nanoseconds timeout) = 0;

  /// Checks the health of the plain service's instance at `address`.
  /// Throws net::transport_error.
  virtual support::task<bool> healthy(std::string address, std::chrono::nanoseconds timeout) = 0;

  /// Sends an order if `still_allowed` returns true once the connection is established.
  /// Throws net::transport_error; unless its progress is `not_sent`, the order may have
  /// been executed.
  virtual support::task<order_result> order(std::string address, instance_order instruction,
                                            std::chrono::nanoseconds timeout,
                                            std::function<bool()> still_allowed) = 0;

  /// Sends a caller's request to a target, or the request that resumes its stream.
  virtual std::unique_ptr<net::http_exchange> open(net::client_request request) = 0;
};

} // namespace camphorlug::targets
