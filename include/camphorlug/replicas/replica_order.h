#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// Operations that an instance can be ordered to perform.
enum class order_kind {
  /// Join a group.
  join,
  /// Start accepting requests. Sent to the head of a group whose members are all ready.
  open,
  /// Finish the current requests and accept no new ones. Sent to the head of a group.
  close,
  /// Leave the group immediately.
  leave,
  /// Fetch a model's weights to the host of the instance.
  stage,
};

const char* to_string(order_kind kind);

/// An order for one instance.
struct replica_order {
  order_kind kind = order_kind::join;
  std::string target;
  /// `ip:port`.
  std::string address;
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  /// Ids of the group members, with the head first.
  std::vector<std::string> members;
  /// Whether the order makes the instance fetch weights from the weight store.
  bool loads = false;
  /// Why the order is sent; logged for operators.
  std::string reason;
  /// Fencing token. It increases with every order, so an instance that has executed a newer
  /// order rejects older ones that arrive late.
  std::uint64_t fence = 0;
};

} // namespace camphorlug::replicas
