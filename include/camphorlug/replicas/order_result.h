#pragma once

namespace camphorlug::replicas {

/// Outcome of an order.
enum class order_result {
  /// The instance has started to execute the order.
  begun,
  /// The instance is already in the requested state.
  done,
  /// The order conflicts with the current state of the instance.
  misfit,
  /// The instance has already accepted an order with a larger fencing token or a newer epoch, or
  /// is in the group with other members.
  outdated,
  /// The address now belongs to another instance.
  wrong_instance,
  /// The order did not reach the instance.
  not_sent,
  /// No answer was received. The order may still be executed, possibly much later.
  unknown,
};

const char* to_string(order_result result);

} // namespace camphorlug::replicas
