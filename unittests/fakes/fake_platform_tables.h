#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/table/change_feed.h"

#include <chrono>
#include <map>
#include <string>

namespace camphorlug::fakes {

/// Rows of all tables with their numbers, without eras.
struct table_contents {
  std::map<std::string, std::map<std::string, table::feed_row>> tables;
  std::uint64_t version = 0;
};

/// Tables of the platform, shared by the change feeds of all nodes.
struct fake_platform_tables : table_contents {
  std::uint64_t era = 0;

  table_contents copy() const { return *this; }
  /// Simulates that the platform restores an older copy.
  void restore(table_contents copy);

  void put(const std::string& name, const std::string& key, std::string value);
  void remove(const std::string& name, const std::string& key);
};

/// What becomes of a node's calls to the store while it is cut off: they fail at once, or nothing
/// answers until the node gives them up.
enum class store_cut { refused, silent };

/// Time after which a call to the store that gets no answer is given up; a call to the feed waits
/// for a change besides.
inline constexpr std::chrono::milliseconds store_call_timeout{1200};
inline constexpr std::chrono::milliseconds feed_timeout_margin{800};

/// One node's change feed of the shared tables.
class fake_change_feed final : public table::change_feed {
public:
  fake_change_feed(support::clock& time, fake_platform_tables& tables)
      : time_(time), tables_(tables) {}

  support::task<table::feed_batch> read_all(std::string name) override;
  support::task<table::feed_batch> read_all_within(std::string name,
                                                   std::chrono::milliseconds timeout) override;
  support::task<table::feed_batch> changes(std::string name, std::uint64_t since,
                                           std::chrono::milliseconds wait) override;

  /// Disconnects this node from the tables.
  bool cut = false;
  store_cut kind = store_cut::refused;
  std::size_t reads = 0;
  /// Time that the answer to a full read takes.
  std::chrono::milliseconds answer_delay{0};

private:
  support::task<> simulate_transfer(std::chrono::milliseconds timeout);
  /// Fails as a call that began at `begun_at` does while the node is cut off.
  support::task<> fail(support::clock::time_point begun_at, std::chrono::milliseconds timeout);
  /// Returns the rows with numbers above `since`, with the current era.
  table::feed_batch rows_after(const std::string& name, std::uint64_t since) const;

  support::clock& time_;
  fake_platform_tables& tables_;
};

} // namespace camphorlug::fakes
