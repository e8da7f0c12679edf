#pragma once

#include "camphorlug/replicas/order_result.h"
#include "camphorlug/replicas/replica_order.h"
#include "camphorlug/support/task.h"

#include <functional>

namespace camphorlug::replicas {

/// Transport for orders to instances.
class order_client {
public:
  order_client() = default;
  order_client(const order_client&) = delete;
  order_client& operator=(const order_client&) = delete;
  virtual ~order_client() = default;

  /// Sends `order` if `send_if` still returns true once the connection is established.
  virtual support::task<order_result> send(replica_order order, std::function<bool()> send_if) = 0;
};

} // namespace camphorlug::replicas
