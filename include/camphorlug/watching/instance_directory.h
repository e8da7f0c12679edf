#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/table/instance_list.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorlug::watching {

/// The last instance list that this node read. It stays in use while the list
/// cannot be read again.
class instance_directory {
public:
  /// Replaces the list. Instances that are no longer listed are dropped.
  void update(const std::vector<table::listed_instance>& list, support::clock::time_point read_at);

  /// Adds instances known to a peer, unless this node has read a list itself.
  void adopt(const std::vector<table::listed_instance>& list);

  const table::listed_instance* find(const std::string& id) const;
  const std::map<std::string, table::listed_instance>& all() const { return instances_; }

  /// Whether this node has read a list itself.
  bool was_read() const { return was_read_; }
  support::clock::time_point read_at() const { return read_at_; }

private:
  std::map<std::string, table::listed_instance> instances_;
  support::clock::time_point read_at_;
  bool was_read_ = false;
};

} // namespace camphorlug::watching
