#include "camphorlug/replicas/order_result.h"

namespace camphorlug::replicas {

const char* to_string(order_result result) {
  switch (result) {
  case order_result::begun:
    return "begun";
  case order_result::done:
    return "done";
  case order_result::misfit:
    return "misfit";
  case order_result::outdated:
    return "outdated";
  case order_result::wrong_instance:
    return "wrong_instance";
  case order_result::not_sent:
    return "not_sent";
  case order_result::unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace camphorlug::replicas
