#include "camphorlug/replicas/replica_order.h"

namespace camphorlug::replicas {

const char* to_string(order_kind kind) {
  switch (kind) {
  case order_kind::join:
    return "join";
  case order_kind::open:
    return "open";
  case order_kind::close:
    return "close";
  case order_kind::leave:
    return "leave";
  case order_kind::stage:
    return "stage";
  }
  return "stage";
}

} // namespace camphorlug::replicas
