#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorlug::replicas {

/// What an instance can be told to do.
enum class order_kind {
  /// Become a member of a group.
  join,
  /// As the head of a ready group, take requests.
  open,
  /// As the head, finish the requests it has and take no more.
  close,
  /// Give up its membership at once.
  leave,
  /// Fetch a model's weights to its host.
  stage,
};

const char* to_string(order_kind kind);

/// One order to one instance.
struct replica_order {
  order_kind kind = order_kind::join;
  std::string target;
  /// `ip:port`.
  std::string address;
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  /// Ids of the group's members, the head first.
  std::vector<std::string> members;
  /// It makes the instance fetch weights from the weight store.
  bool loads = false;
  /// For operators: why it is given.
  std::string reason;
  /// Fencing number. Each order has a larger one than all before it, so that an
  /// instance refuses a late order once it has carried out a newer one.
  std::uint64_t fence = 0;
};

} // namespace camphorlug::replicas
