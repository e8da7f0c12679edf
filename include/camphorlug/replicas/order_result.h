#pragma once

namespace camphorlug::replicas {

/// What became of an order.
enum class order_result {
  /// It is being carried out.
  begun,
  /// The instance is already as ordered.
  done,
  /// It does not fit what the instance is doing.
  misfit,
  /// The instance knows a newer order of another planner or epoch.
  outdated,
  /// Another instance has the address.
  wrong_instance,
  /// It did not reach the instance.
  not_sent,
  /// No answer: it may still be carried out, also much later.
  unknown,
};

const char* to_string(order_result result);

} // namespace camphorlug::replicas
