#pragma once

#include "camphorlug/support/clock.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace camphorlug::standins {

/// The instances that sent a heartbeat lately, as they were some time ago.
class delayed_instance_list {
public:
  /// Takes an instance's own description; `is_static` needs no further heartbeats.
  void put(const std::string& id, std::string json, bool is_static, support::clock::time_point now);
  void remove(const std::string& id);

  /// Drops instances without heartbeats and keeps a copy for later readers.
  void take_snapshot(support::clock::time_point now);

  /// The JSON list as it was `lag` ago.
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
