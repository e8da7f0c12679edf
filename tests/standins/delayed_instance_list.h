#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace camphorlug::standins {

/// Instance list that can be read as it was some time ago, to simulate replication lag.
class delayed_instance_list {
public:
  /// Records a heartbeat with the instance's description. A static instance never expires.
  void put(const std::string& id, std::string json, bool is_static, support::clock::time_point now);
  void remove(const std::string& id);

  /// Removes instances whose heartbeats timed out and stores a snapshot for delayed reads.
  void take_snapshot(support::clock::time_point now);

  /// Returns the JSON list as it was `lag` ago.
  std::string read(support::clock::time_point now, std::chrono::nanoseconds lag) const;

private:
  struct entry {
    std::string json;
    bool is_static = false;
    support::clock::time_point heartbeat_at;
  };
  struct snapshot {
    support::clock::time_point at;
    std::string json;
  };

  std::map<std::string, entry> entries_;
  std::deque<snapshot> snapshots_;
};

} // namespace camphorlug::standins
