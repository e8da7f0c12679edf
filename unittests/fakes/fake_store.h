#pragma once

#include "camphorlug/support/clock.h"
#include "camphorlug/table/table_store.h"

#include "fakes/fake_platform_tables.h"
#include "row_table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace camphorlug::fakes {

/// The rows of the table service, shared by the connections of all nodes.
struct shared_table {
  standins::row_table rows;
  std::uint64_t era = 0;

  /// Simulates that the service restores an older copy.
  void restore(standins::row_table copy) {
    rows = std::move(copy);
    ++era;
  }

  bool down = false;
  /// Scans of this prefix fail; empty for none.
  std::string unreadable_prefix;
  /// Number of next commits that take effect but whose answers are lost.
  int commit_answers_to_drop = 0;
  std::chrono::nanoseconds delay{std::chrono::milliseconds(2)};
  /// Time that the answer to a scan takes in addition.
  std::chrono::nanoseconds answer_delay{0};
  std::size_t reads = 0;
  std::size_t commits = 0;
  /// Called with the transaction before each commit.
  std::function<void(const table::transaction&)> before_commit;
};

/// One node's connection to the table service.
class fake_store final : public table::table_store {
public:
  fake_store(support::clock& time, shared_table& table) : time_(time), table_(table) {}

  support::task<std::vector<table::row>> scan(std::string prefix) override;
  support::task<table::commit_result> commit(table::transaction change) override;
  std::uint64_t era() const override { return era_; }

  /// Disconnects this node from the store.
  bool cut = false;
  store_cut kind = store_cut::refused;

private:
  support::task<> simulate_transfer();

  support::clock& time_;
  shared_table& table_;
  /// The highest era of all answers.
  std::uint64_t era_ = 0;
};

} // namespace camphorlug::fakes
